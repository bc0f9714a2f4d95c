"""Hold the adapters to the runner and the worker of the instance."""
