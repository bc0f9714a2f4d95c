"""Connect a sidecar to the entries."""
