"""Define the exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Define what an exit code of a command means."""

    # Done; a document is in force everywhere.
    DONE = 0
    # The file is invalid, or the compared files differ.
    INVALID = 1
    # The command line is invalid.
    USAGE = 2
    # The document is not in force and will not be.
    NOT_IN_FORCE = 3
    # Not confirmed within the timeout; the document may still come into force.
    NOT_KNOWN = 4
    # No entry answered, or the requested item does not exist.
    NO_ANSWER = 5
