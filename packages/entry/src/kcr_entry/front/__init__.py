"""Serve callers, operators and the load balancer over HTTP."""
