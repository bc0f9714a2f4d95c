"""Find the owner of the jobs and stay connected to it."""
