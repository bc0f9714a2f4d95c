"""Implement the sidecar role, which controls one instance.

The sidecar admits requests to the runner, runs tasks on the worker and reports
to the entries, which send it both. `role` registers it with the daemon.
"""
