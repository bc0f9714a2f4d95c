"""Append to the log and read its streams."""
