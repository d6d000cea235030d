"""The simulation that measures how fast faulty targets are ejected."""

import pytest

from clementinedeal_bench._detection import DetectionRun, LoadSettings
from clementinedeal_bench._ejection_policies import (
    ConsecutiveErrors,
    EjectionManagers,
    NoPolicy,
)
from clementinedeal_bench._model_targets import FaultMode

TARGET_COUNT = 8
LOAD = LoadSettings(seconds_after_onset=15.0)


@pytest.mark.parametrize(
    ('mode', 'seconds'),
    [
        (FaultMode.FAILING, 1.0),
        (FaultMode.SLOW_3, 5.0),
        (FaultMode.SLOW_10, 5.0),
    ],
)
def test_a_faulty_target_is_ejected_in_time(
    mode: FaultMode,
    seconds: float,
) -> None:
    result = DetectionRun(
        mode, 3, EjectionManagers(TARGET_COUNT, 6, 18.0), LOAD
    ).simulate()
    assert result.detection_seconds is not None
    assert result.detection_seconds < seconds
    assert result.wrongful_ejections == 0


@pytest.mark.parametrize('mode', [FaultMode.HEALTHY, FaultMode.ALL_SLOW])
def test_healthy_targets_and_a_common_slowdown_are_not_ejected(
    mode: FaultMode,
) -> None:
    result = DetectionRun(
        mode, 3, EjectionManagers(TARGET_COUNT, 6, 18.0), LOAD
    ).simulate()
    assert result.detection_seconds is None
    assert result.wrongful_ejections == 0


def test_one_seed_gives_the_same_result_each_time() -> None:
    """Policies are compared on equal seeds, which must fix all randomness."""
    runs = [
        DetectionRun(FaultMode.FAILING, 3, NoPolicy(), LOAD) for _ in range(2)
    ]
    first, second = (run.simulate() for run in runs)
    assert first == second
    errors = DetectionRun(
        FaultMode.FAILING, 3, ConsecutiveErrors(2), LOAD
    ).simulate()
    assert errors.detection_seconds is not None
