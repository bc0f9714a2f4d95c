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
