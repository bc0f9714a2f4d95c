"""Check the arithmetic from measured slopes to the capacity figures."""

import math
import typing

import hypothesis
from hypothesis import strategies
import pytest

from kcr_emulator import capacity
from kcr_emulator import capacity_figures
from kcr_emulator import capacity_plan

FINITE = strategies.floats(-1e6, 1e6)
# Messages whose measured costs the figures use.
KINDS = ('heartbeat', 'heartbeat_ack', 'control')


class Ones(dict[str, typing.Any]):
    """Represent measured slopes in which every value is 1."""

    def __missing__(self, name: str) -> typing.Any:
        """Return 1 for a value and a table of ones for a part."""
        parts = {*capacity.PARTS, 'sidecar/instance-0', *KINDS}
        if name in parts or name == 'placement of a task, us':
            return Ones()
        return 1.0


@hypothesis.settings(derandomize=True)
@hypothesis.given(slope=FINITE, base=FINITE)
def test_fit_finds_the_line(slope: float, base: float) -> None:
    """Guard against a slope that includes the fixed cost."""
    points = [(x, slope * x + base) for x in (0.0, 10.0, 40.0)]
    found = capacity_plan.fit(points)
    assert math.isclose(found.slope, slope, rel_tol=1e-6, abs_tol=1e-6)
    assert math.isclose(found.base, base, rel_tol=1e-6, abs_tol=1e-3)


def test_fit_needs_two_sizes() -> None:
    """Guard against a slope from a single size."""
    with pytest.raises(ValueError, match='two sizes'):
        capacity_plan.fit([(3.0, 1.0), (3.0, 2.0)])


@pytest.mark.parametrize(
    ('payload', 'masked', 'expected'),
    [
        # RFC 6455: 2 bytes up to 125, 4 up to 65,535, then 10; 4 of mask.
        (125, False, 125 + 2 + 52),
        (126, False, 126 + 4 + 52),
        (125, True, 125 + 2 + 4 + 52),
        (1444, False, 1444 + 4 + 52),
        (1445, False, 1445 + 4 + 2 * 52),
        (65_536, False, 65_536 + 10 + 46 * 52),
    ],
)
def test_wire_bytes_count_every_header(
    payload: int, masked: bool, expected: int
) -> None:
    """Guard against traffic figures without all headers."""
    assert capacity_plan.wire_bytes(payload, masked) == expected


def test_exchange_counts_the_last_acknowledgement() -> None:
    """Guard against a missing segment that acknowledges the reply."""
    both = capacity_plan.wire_bytes(100, True)
    both += capacity_plan.wire_bytes(50, False)
    assert capacity_plan.exchange_bytes(100, 50) == both + 52


def test_appends_are_bounded_by_the_batches() -> None:
    """Guard against counting one append per item."""
    size = capacity_plan.Size(collect_s=0.01, append_s=0.01)
    assert capacity_plan.infer_appends_per_s(4500.0, size) == 50.0
    assert capacity_plan.infer_appends_per_s(3.0, size) == 3.0


def test_figure_is_the_sum_of_its_terms() -> None:
    """Guard against a value that differs from the arithmetic shown."""
    figure = capacity_plan.make_figure(
        'x', 'B/s', 10.0, [(2.0, 3.0, 'a'), (1.0, 5.0, 'b')]
    )
    assert figure.value == 11.0
    assert figure.terms == '2 x 3 (a) + 1 x 5 (b)'
    assert not figure.is_within_limit()


def test_rates_of_a_region_are_shares_of_the_whole() -> None:
    """Guard against using the rate of all regions for one region."""
    size = capacity_plan.Size()
    rates = capacity_figures.infer_rates(size)
    assert rates.starts * size.regions == size.starts_per_s
    moved = rates.moves * size.regions * capacity_plan.SECONDS_PER_DAY
    lost = size.gone_per_day * size.running / size.workers
    assert math.isclose(moved, lost)


def test_every_figure_is_worked_out() -> None:
    """Guard against a figure that reads a slope under a wrong name."""
    figures = capacity_figures.infer_all(Ones(), capacity_plan.Size())
    names = [figure.name for figure in figures]
    assert len(set(names)) == len(names)
    shown = capacity.format_figures(figures)
    assert sum('NOT REACHED' in line for line in shown) == sum(
        not figure.is_within_limit() for figure in figures
    )
