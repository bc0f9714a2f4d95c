"""Check what a scheduler waits for before it stops."""

import scheduler_harness

from kcr_platform import front
from kcr_runtime import process
from kcr_scheduler import addresses
from kcr_scheduler import events

GRACE_S = 6.0


class Front(front.Front):
    """Serve no port."""

    def started(self) -> None:
        """Open nothing."""


def test_graceful_stop_waits_for_the_cancels_that_are_kept() -> None:
    """Guard against a cancel that ends with the scheduler that keeps it."""
    harness = scheduler_harness.Harness(process.PROCESS_ADDRESS)
    harness.ctx.cfg.grace_s = GRACE_S
    made = Front(harness.ctx, addresses.FRONT)
    made.begin()
    drained = harness.recorders[process.PROCESS_ADDRESS]
    harness.post(addresses.FRONT, events.CancelsKept(1))
    harness.post(addresses.FRONT, events.Drain())
    harness.advance(front.LISTENER_CLOSE_DELAY_S + 1.0)
    assert drained.pop_all(process.Drained) == []
    harness.post(addresses.FRONT, events.CancelsKept(0))
    harness.advance(0.2)
    assert len(drained.pop_all(process.Drained)) == 1


def test_cancels_that_are_kept_do_not_outlast_the_grace_period() -> None:
    """Guard against a process that is killed as it waits for an owner."""
    harness = scheduler_harness.Harness(process.PROCESS_ADDRESS)
    harness.ctx.cfg.grace_s = GRACE_S
    made = Front(harness.ctx, addresses.FRONT)
    made.begin()
    harness.post(addresses.FRONT, events.CancelsKept(1))
    harness.post(addresses.FRONT, events.Drain())
    harness.advance(GRACE_S)
    drained = harness.recorders[process.PROCESS_ADDRESS]
    assert len(drained.pop_all(process.Drained)) == 1
