"""Decide which document is in force and send its settings to processes."""
