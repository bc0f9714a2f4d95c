"""Define the exit codes of the command line."""

import enum


class Exit(enum.IntEnum):
    """Say what came of a command."""

    # Done; a document is in force everywhere.
    DONE = 0
    # The file is wrong, or two files differ.
    WRONG = 1
    # The command line is wrong.
    USAGE = 2
    # The document is not in force and will not be.
    NOT_IN_FORCE = 3
    # It is not known yet whether the document is in force everywhere.
    NOT_KNOWN = 4
    # No entry answered, or what was asked for does not exist.
    NO_ANSWER = 5
