"""Hold stand-ins of the platform, the load tool and the demo.

No binary depends on this package; it exists for tests, demos and benchmarks.
"""
