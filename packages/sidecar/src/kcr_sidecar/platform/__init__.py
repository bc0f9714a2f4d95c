"""Adapt the HTTP interfaces of the runner and the worker."""
