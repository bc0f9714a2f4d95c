"""Define the query from one task of a process to another, and its reply.

The querying task chooses the token and matches the reply by it. Front ends
send the requests of callers to the deciding tasks in this way.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Represent a query to the task that can reply to it."""

    # Token that the reply repeats.
    token: str
    # Address of the task that gets the reply.
    sender: str
    # Object whose class selects what is queried.
    body: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Represent the reply to a query."""

    # Token of the query.
    token: str
    # Result; its class depends on the body of the query.
    value: typing.Any
