"""Define a question between tasks and its answer."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Carry a question to the task that can answer it."""

    # Token that the answer repeats.
    token: str
    # Address of the asking task.
    sender: str
    # The question.
    body: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Carry the answer to a question."""

    # Token of the question.
    token: str
    # The answer.
    value: typing.Any
