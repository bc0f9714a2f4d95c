"""Run the fault soak for a short time, with one seed and past failures."""

import pathlib

import fault_soak
import pytest
import yaml

# Time in which faults begin, in seconds; `make faults` uses 15 s.
DURATION_S = 8.0
FAILED = yaml.safe_load(
    (pathlib.Path(__file__).parent / 'failed_seeds.yaml').read_text()
)


def test_short_soak_holds() -> None:
    """Guard against violated guarantees under overlapping faults."""
    result = fault_soak.run_seed(1, duration_s=DURATION_S)
    assert result.wrong == (), f'logs are kept in {result.kept}'
    assert result.starts > 0


def test_connections_that_fall_silent_in_series() -> None:
    """Guard against a process that relies on a silent connection for good."""
    result = fault_soak.run_seed(
        1, duration_s=DURATION_S, only='silent_series'
    )
    assert result.wrong == (), f'logs are kept in {result.kept}'
    assert result.starts > 0


@pytest.mark.parametrize('seed', [item['seed'] for item in FAILED])
def test_seed_that_failed_holds(seed: int) -> None:
    """Guard against the cause that failed_seeds.yaml gives for the seed."""
    result = fault_soak.run_seed(seed, duration_s=DURATION_S)
    assert result.wrong == (), f'logs are kept in {result.kept}'
