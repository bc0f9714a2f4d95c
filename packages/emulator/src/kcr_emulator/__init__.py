"""Provide emulators of the platform, the load tool, demo and benchmarks.

No daemon depends on this package.
"""
