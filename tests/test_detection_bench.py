import pytest

from clementinedeal_bench._detection import Load, Run
from clementinedeal_bench._ejection_policies import (
    ConsecutiveErrors,
    Managers,
    NoPolicy,
)
from clementinedeal_bench._model_targets import Mode

SIZE = 8
LOAD = Load(after=15.0)


@pytest.mark.parametrize(
    ('mode', 'seconds'),
    [(Mode.FAILING, 1.0), (Mode.SLOW_3, 5.0), (Mode.SLOW_10, 5.0)],
)
def test_a_faulty_target_is_set_aside_in_time(
    mode: Mode,
    seconds: float,
) -> None:
    finding = Run(mode, 3, Managers(SIZE, 6, 18.0), LOAD).finish()
    assert finding.detected is not None
    assert finding.detected < seconds
    assert finding.wrongful == 0


@pytest.mark.parametrize('mode', [Mode.HEALTHY, Mode.ALL_SLOW])
def test_healthy_targets_and_a_common_slowdown_are_left_alone(
    mode: Mode,
) -> None:
    finding = Run(mode, 3, Managers(SIZE, 6, 18.0), LOAD).finish()
    assert finding.detected is None
    assert finding.wrongful == 0


def test_one_seed_gives_one_run_whatever_the_policy() -> None:
    runs = [Run(Mode.FAILING, 3, NoPolicy(), LOAD) for _ in range(2)]
    first, second = (run.finish() for run in runs)
    assert first == second
    errors = Run(Mode.FAILING, 3, ConsecutiveErrors(2), LOAD).finish()
    assert errors.detected is not None
