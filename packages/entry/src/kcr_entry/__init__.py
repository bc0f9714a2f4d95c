"""Implement the entry: HTTP front end, request routing and task ledger."""
