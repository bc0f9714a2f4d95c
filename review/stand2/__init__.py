"""Stand-ins of the platform for the cases 6 to 10 of the review."""
