"""Hold the authority over the slots and resources of the instance."""
