"""Validate the HTTP bodies of callers and convert them to data classes."""

import time
import typing

import pydantic

from kcr_core import messages
from kcr_entry.work import requests

# Longest deadline of a request, in milliseconds.
MAX_DEADLINE_MS = 300_000

Name = typing.Annotated[str, pydantic.Field(min_length=1, max_length=100)]


class RequestModel(pydantic.BaseModel):
    """Validate the body of `POST /v1/requests`."""

    model_config = pydantic.ConfigDict(extra='forbid')

    id: Name
    caller: Name
    service: Name
    deadline_ms: int = pydantic.Field(ge=1, le=MAX_DEADLINE_MS)
    idempotent: bool = True
    issued_at_ms: int | None = pydantic.Field(None, ge=0)
    body: str = pydantic.Field('', max_length=messages.MAX_BODY_BYTES // 4)

    def to_submit(self) -> requests.Submit:
        """Return the request as a data class."""
        issued = self.issued_at_ms
        if issued is None:
            issued = int(time.time() * 1000)
        return requests.Submit(
            request_id=self.id,
            caller=self.caller,
            service=self.service,
            budget_s=self.deadline_ms / 1000.0,
            idempotent=self.idempotent,
            issued_at_ms=issued,
            body=self.body.encode(),
        )
