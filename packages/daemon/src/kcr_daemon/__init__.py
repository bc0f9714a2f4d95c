"""Hold the daemon binary."""
