"""Validate the HTTP bodies of callers and convert them to data classes.

The HTTP front end uses the models for requests and tasks.
"""

import time
import typing

import pydantic

from kcr_core import message_base
from kcr_core import types
from kcr_entry.work import submitted_request

# Maximum deadline of a request, in milliseconds.
MAX_DEADLINE_MS = 300_000
# Maximum payload of a task, in characters; a batch of 200 is below 1 MiB.
MAX_PAYLOAD_CHARS = 4096
# Maximum quantity of a resource, and maximum run time in seconds.
MAX_QUANTITY = 1e9

Name = typing.Annotated[str, pydantic.Field(min_length=1, max_length=100)]
# Name that is a segment of a path and of a key, so it has no slash.
PathName = typing.Annotated[
    str, pydantic.Field(min_length=1, max_length=100, pattern=r'^[^/\s]+$')
]


class RequestModel(pydantic.BaseModel):
    """Validate the body of `POST /v1/requests`."""

    model_config = pydantic.ConfigDict(extra='forbid')

    id: PathName
    # With a slash, two callers could share a key.
    caller: PathName
    service: Name
    deadline_ms: int = pydantic.Field(ge=1, le=MAX_DEADLINE_MS)
    idempotent: bool = True
    issued_at_ms: int | None = pydantic.Field(None, ge=0)
    resubmitted: bool = False
    body: str = pydantic.Field('', max_length=message_base.MAX_BODY_BYTES // 4)

    @pydantic.model_validator(mode='after')
    def check_issued_at(self) -> 'RequestModel':
        """Require the time of issue if the dedupe window depends on it."""
        if not self.idempotent and self.issued_at_ms is None:
            raise ValueError(
                'issued_at_ms is required for a non-idempotent request; '
                'send the Unix time in ms of the first submission'
            )
        return self

    def to_submit(self) -> submitted_request.Submit:
        """Return the request as a data class."""
        issued = self.issued_at_ms
        if issued is None:
            issued = int(time.time() * 1000)
        return submitted_request.Submit(
            request_id=self.id,
            caller=self.caller,
            service=self.service,
            budget_s=self.deadline_ms / 1000.0,
            idempotent=self.idempotent,
            issued_at_ms=issued,
            body=self.body.encode(),
            resubmitted=self.resubmitted,
        )


class DemandModel(pydantic.BaseModel):
    """Validate the resources that a task declares."""

    model_config = pydantic.ConfigDict(extra='forbid', allow_inf_nan=False)

    processors: float = pydantic.Field(0.0, ge=0.0, le=MAX_QUANTITY)
    memory_mb: float = pydantic.Field(0.0, ge=0.0, le=MAX_QUANTITY)
    accelerators: int = pydantic.Field(0, ge=0, le=1000)


class TaskModel(pydantic.BaseModel):
    """Validate the body of `POST /v1/tasks`."""

    model_config = pydantic.ConfigDict(extra='forbid', allow_inf_nan=False)

    id: PathName
    caller: PathName
    team: Name
    kind: Name
    demand: DemandModel
    urgent: bool = False
    restartable: bool = True
    run_s: float = pydantic.Field(0.0, ge=0.0, le=MAX_QUANTITY)
    job: str = pydantic.Field('', max_length=100)
    payload: str = pydantic.Field('', max_length=MAX_PAYLOAD_CHARS)
    region: Name | None = None

    def to_spec(self) -> types.TaskSpec:
        """Return the task as a data class."""
        return types.TaskSpec(
            task_id=self.id,
            caller=self.caller,
            team=self.team,
            kind=self.kind,
            demand=types.Demand(
                self.demand.processors,
                self.demand.memory_mb,
                self.demand.accelerators,
            ),
            urgent=self.urgent,
            restartable=self.restartable,
            run_s=self.run_s,
            job=self.job,
            payload=self.payload,
        )
