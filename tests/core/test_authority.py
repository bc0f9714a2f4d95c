"""Check when a sidecar may run tasks."""

from kcr_core import authority
from kcr_core import types


def make(*targets: str) -> authority.Authority:
    """Return an authority with entries at the targets."""
    sidecar_authority = authority.Authority(types.ControlSettings())
    for target in targets:
        sidecar_authority.add_entry(target, f'inc-{target}')
    return sidecar_authority


def test_renewal_counts_from_sending_less_log_age() -> None:
    """Guard against authority that lasts longer than the fence's wait."""
    sidecar_authority = make('a')
    sidecar_authority.renew('a', 'inc-a', 100.0, 3000, False)
    assert sidecar_authority.is_authorized(106.9)
    assert not sidecar_authority.is_authorized(107.0)


def test_outage_needs_every_known_entry() -> None:
    """Guard against running tasks while a silent entry may have fenced."""
    sidecar_authority = make('a', 'b')
    sidecar_authority.renew('a', 'inc-a', 100.0, 0, False)
    sidecar_authority.renew('a', 'inc-a', 120.0, -1, False)
    assert not sidecar_authority.is_authorized(121.0)
    sidecar_authority.renew('b', 'inc-b', 120.0, -1, False)
    assert sidecar_authority.is_authorized(121.0)


def test_refused_connection_removes_a_dead_entry() -> None:
    """Guard against stopping all tasks when one entry fails."""
    sidecar_authority = make('a', 'b')
    sidecar_authority.renew('a', 'inc-a', 100.0, 0, False)
    sidecar_authority.renew('a', 'inc-a', 120.0, -1, False)
    sidecar_authority.remove_entry('b')
    assert sidecar_authority.is_authorized(121.0)


def test_outage_limit_ends_authority() -> None:
    """Guard against running tasks without limit in an outage of the log."""
    sidecar_authority = make('a')
    sidecar_authority.renew('a', 'inc-a', 100.0, 0, False)
    sidecar_authority.renew('a', 'inc-a', 3699.0, -1, False)
    assert sidecar_authority.is_authorized(3699.5)
    assert not sidecar_authority.is_authorized(3700.0)


def test_new_incarnation_without_fresh_renewal_has_no_authority() -> None:
    """Guard against a restart in an outage that no entry can fence."""
    sidecar_authority = make('a')
    sidecar_authority.renew('a', 'inc-a', 100.0, -1, False)
    assert not sidecar_authority.is_authorized(100.5)


def test_fence_is_final() -> None:
    """Guard against a fenced incarnation that receives a late renewal."""
    sidecar_authority = make('a')
    sidecar_authority.renew('a', 'inc-a', 100.0, 0, True)
    sidecar_authority.renew('a', 'inc-a', 101.0, 0, False)
    assert not sidecar_authority.is_authorized(101.5)


def test_renewal_of_older_entry_process_counts_for_no_entry() -> None:
    """Guard against crediting a late reply to a newer entry process."""
    sidecar_authority = make('a')
    sidecar_authority.renew('a', 'inc-a', 100.0, 0, False)
    sidecar_authority.add_entry('a', 'new')
    sidecar_authority.renew('a', 'inc-a', 130.0, -1, False)
    assert not sidecar_authority.is_authorized(130.5)


def test_new_entry_in_an_outage_neither_ends_nor_extends_authority() -> None:
    """Guard against an entry whose start in an outage stops all tasks."""
    sidecar_authority = make('a')
    sidecar_authority.renew('a', 'inc-a', 100.0, 0, False)
    sidecar_authority.renew('a', 'inc-a', 120.0, -1, False)
    sidecar_authority.add_entry('b', 'inc-b')
    assert sidecar_authority.is_authorized(129.9)
    sidecar_authority.renew('a', 'inc-a', 128.0, -1, False)
    assert not sidecar_authority.is_authorized(130.0)
    sidecar_authority.renew('b', 'inc-b', 129.0, -1, False)
    assert sidecar_authority.is_authorized(137.9)
    assert not sidecar_authority.is_authorized(138.0)
