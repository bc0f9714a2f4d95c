"""Control the runner and receive its heartbeats."""
