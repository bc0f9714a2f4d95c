"""Check when a scheduler claims the jobs."""

import scheduler_harness

from kcr_jobs import election
from kcr_jobs import records
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler.fleet import mesh
from kcr_scheduler.work import codec
from kcr_scheduler.work import job_log
from kcr_scheduler.work import owner

TASKS = (
    addresses.WATCH, addresses.CALLS, addresses.FRONT, addresses.SESSIONS,
    addresses.PEER_SESSIONS,
)  # fmt: skip


def start_scheduler(
    process: str,
) -> tuple[scheduler_harness.Harness, owner.Owner]:
    """Start a scheduler named `me` after a claim of the given process."""
    harness = scheduler_harness.Harness(*TASKS)
    claim = records.Claim(4, process, 'older', '127.0.0.1:2')
    batch = codec.encode('older', [claim])
    harness.store.partitions[job_log.TOPIC].append(batch)
    harness.store.keyed[job_log.CLAIM_TOPIC][job_log.CLAIM_KEY] = batch
    made = owner.Owner(harness.ctx, addresses.OWNER)
    mesh.Mesh(harness.ctx, addresses.MESH).begin()
    made.begin()
    harness.post(addresses.MESH, events.StoreAnswered())
    return harness, made


def test_restarted_owner_claims_at_once() -> None:
    """Guard against an election after all processes have restarted."""
    harness, made = start_scheduler('me')
    harness.advance(0.1)
    assert made.phase == 'leading'
    assert made.controller is not None
    assert made.controller.epoch == 5


def test_other_scheduler_waits_for_the_owner() -> None:
    """Guard against a new scheduler that displaces a running owner."""
    harness, made = start_scheduler('other')
    harness.advance(election.PEER_DISCOVERY_S)
    assert made.phase == 'idle'
