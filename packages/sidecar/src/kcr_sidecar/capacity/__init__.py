"""Control the slots and the task resources of the instance."""
