"""Hold the connection of an entry to the log."""
