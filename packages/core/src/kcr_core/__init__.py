"""Decisions without I/O, data classes and messages of the scheduler."""
