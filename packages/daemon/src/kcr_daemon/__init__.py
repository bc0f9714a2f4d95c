"""Provide `kingcuprouterd`, the command that runs a role as a daemon."""
