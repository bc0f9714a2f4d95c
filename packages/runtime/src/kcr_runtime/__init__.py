"""Run the roles: tasks, supervisors, connections, settings and metrics."""
