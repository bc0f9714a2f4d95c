"""Own the jobs and forward calls to their owner."""
