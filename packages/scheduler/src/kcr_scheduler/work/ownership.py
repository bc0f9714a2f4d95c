"""Define the state machine of the ownership: idle, claiming, owning.

The owner task gives the inputs and is called at each transition. The phase of
an owner is shown as 'leading' in the dump.
"""

import typing

import automat


class Owner(typing.Protocol):
    """Define what the owner task does at each transition."""

    # Phase of the ownership, for the dump.
    phase: str

    def begin_claim(self) -> None:
        """Read the log to its end and claim it there."""

    def begin_ownership(self) -> None:
        """Take over the jobs and the runners."""

    def end_ownership(self) -> None:
        """Drop the state that may be ahead of the log."""


class Ownership(typing.Protocol):
    """Define the inputs of the state machine."""

    def campaign(self) -> None:
        """Start a claim, by reading the log."""

    def claimed(self) -> None:
        """Record that the claim is durable."""

    def ended(self) -> None:
        """Record that the claim has failed or the ownership has ended."""


def _build_ownership() -> typing.Any:
    # mypy reports a protocol as an abstract class here.
    builder = automat.TypeMachineBuilder(
        Ownership,
        Owner,  # type: ignore[type-abstract]
    )
    idle = builder.state('idle')
    claiming = builder.state('claiming')
    owning = builder.state('leading')

    @idle.upon(Ownership.campaign).to(claiming)
    def on_campaign(ownership: Ownership, owner: Owner) -> None:
        owner.phase = 'claiming'
        owner.begin_claim()

    @claiming.upon(Ownership.claimed).to(owning)
    def on_claimed(ownership: Ownership, owner: Owner) -> None:
        owner.phase = 'leading'
        owner.begin_ownership()

    def on_ended(ownership: Ownership, owner: Owner) -> None:
        owner.phase = 'idle'
        owner.end_ownership()

    for state in (claiming, owning):
        state.upon(Ownership.ended).to(idle)(on_ended)

    def ignore(ownership: Ownership, owner: Owner) -> None:
        """Ignore an input that arrives late."""

    for state in (claiming, owning):
        state.upon(Ownership.campaign).to(state)(ignore)
    for state in (idle, owning):
        state.upon(Ownership.claimed).to(state)(ignore)
    idle.upon(Ownership.ended).to(idle)(ignore)
    return builder.build()


OWNERSHIP = _build_ownership()
