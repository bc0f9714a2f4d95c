"""Hold the pure decisions, data classes and messages of the scheduler."""
