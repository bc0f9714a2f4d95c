"""Define the messages between the parts of a sidecar."""

import dataclasses

from kcr_core import types


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsInForce:
    """Deliver the settings of the document in force."""

    # Revision of the document.
    revision: int
    # Settings of that revision.
    settings: types.ControlSettings


@dataclasses.dataclass(frozen=True, slots=True)
class AuthorityChanged:
    """Tell whether the sidecar may run tasks."""

    # Whether tasks may run.
    authorized: bool
    # Whether the incarnation is fenced for good.
    fenced: bool
    # Monotonic time at which the authority ends without a new vouch.
    until: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDrain:
    """Ask a part to refuse new work and to end what it has."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartDrained:
    """Report that a part has nothing left to do."""

    # Address of the part.
    part: str
