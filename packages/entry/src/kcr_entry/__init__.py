"""Hold the entry role: HTTP front end, routing and the task ledger."""
