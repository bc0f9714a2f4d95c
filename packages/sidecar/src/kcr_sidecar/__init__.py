"""Hold the sidecar role: the authority over one instance."""
