"""Hold the connections of a sidecar to the entries."""
