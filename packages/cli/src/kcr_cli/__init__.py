"""Implement `kingcuprouter`, the command line for operators."""
