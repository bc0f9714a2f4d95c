"""Control one runner on behalf of the scheduler that owns the jobs."""
