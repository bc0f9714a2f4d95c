"""Hold the document in force and the processes that follow it."""
