"""Provide what all processes share.

Tasks and supervisors, connections between processes, clients of the log and
of the platform's store, settings, logs and metrics.
"""
