"""How soon the health of a target is recognised from its outcomes."""

import random

import pytest

from clementinedeal._detector import Detector, DetectorSettings
from clementinedeal._target_health import (
    Baseline,
    Cause,
    Healthy,
    OutcomeKind,
    RequestOutcome,
    Unhealthy,
)

STEP_SECONDS = 1 / 13
PEERS = Baseline(7, 0.025, 0.045, 0.0, 0.0, 0.5)


def run(
    detector: Detector,
    outcomes: list[RequestOutcome],
    baseline: Baseline | None = PEERS,
    start: float = 10.0,
) -> tuple[int, object]:
    """Feed 13 outcomes a second until the target is unhealthy."""
    detector.on_baseline(baseline, start)
    for number, outcome in enumerate(outcomes):
        now = start + number * STEP_SECONDS
        if number % 13 == 12:
            detector.on_baseline(baseline, now)
        detector.on_outcome(outcome, now)
        verdict = detector.health(now)
        if isinstance(verdict, Unhealthy):
            return number + 1, verdict
    return len(outcomes), detector.health(now)


def latencies(factor: float, count: int, seed: int) -> list[RequestOutcome]:
    """Return answers that are slower than the peers' by a factor."""
    rng = random.Random(seed)
    return [
        RequestOutcome(OutcomeKind.OK, factor * rng.lognormvariate(-3.7, 0.45))
        for _ in range(count)
    ]


@pytest.fixture
def detector() -> Detector:
    return Detector(DetectorSettings(), 0.0)


@pytest.mark.parametrize(
    'kind',
    [OutcomeKind.ERROR, OutcomeKind.CONNECT, OutcomeKind.TIMEOUT],
)
def test_a_failing_target_is_detected_within_a_second(
    detector: Detector,
    kind: OutcomeKind,
) -> None:
    count, verdict = run(detector, [RequestOutcome(kind, 0.01)] * 13)
    assert isinstance(verdict, Unhealthy)
    assert verdict.cause is Cause.FAILING
    assert count <= 13


@pytest.mark.parametrize('seed', range(10))
def test_a_target_three_times_slower_is_detected_within_five_seconds(
    detector: Detector,
    seed: int,
) -> None:
    _, verdict = run(detector, latencies(3.0, 65, seed))
    assert isinstance(verdict, Unhealthy)
    assert verdict.cause is Cause.SLOW


@pytest.mark.parametrize('seed', range(10))
def test_a_target_with_a_tenth_of_answers_wrong_is_detected(
    detector: Detector,
    seed: int,
) -> None:
    rng = random.Random(seed)
    kinds = [OutcomeKind.WRONG] + [OutcomeKind.OK] * 9
    outcomes = [RequestOutcome(rng.choice(kinds), 0.02) for _ in range(400)]
    _, verdict = run(detector, outcomes)
    assert isinstance(verdict, Unhealthy)
    assert verdict.cause is Cause.WRONG


def test_a_hang_is_detected_without_any_answer(detector: Detector) -> None:
    detector.on_baseline(PEERS, 10.0)
    detector.on_inflight([10.0 + n * STEP_SECONDS for n in range(7)])
    assert isinstance(detector.health(10.1), Healthy)
    verdict = detector.health(11.5)
    assert isinstance(verdict, Unhealthy)
    assert verdict.cause is Cause.HANGING


def test_a_target_as_slow_as_its_peers_is_healthy(detector: Detector) -> None:
    run(detector, latencies(1.0, 130, 1))
    slow = Baseline(7, 0.25, 0.45, 0.0, 0.0, 0.5)
    _, verdict = run(detector, latencies(10.0, 400, 2), slow, 20.0)
    assert isinstance(verdict, Healthy)


def test_slowness_newer_than_the_peers_samples_is_not_confirmed(
    detector: Detector,
) -> None:
    detector.on_baseline(PEERS, 10.0)
    for number, outcome in enumerate(latencies(10.0, 13, 3)):
        detector.on_outcome(outcome, 10.3 + number * STEP_SECONDS)
    assert not isinstance(detector.health(11.3), Unhealthy)
    detector.on_baseline(Baseline(7, 0.25, 0.45, 0.0, 0.0, 1.0), 11.4)
    assert isinstance(detector.health(11.4), Healthy)


def test_a_target_failing_as_often_as_its_peers_is_healthy(
    detector: Detector,
) -> None:
    outcomes = [RequestOutcome(OutcomeKind.ERROR, 0.01)] * 40
    run(detector, outcomes[:8])
    assert isinstance(detector.health(10.6), Unhealthy)
    detector.on_baseline(Baseline(7, 0.02, 0.04, 0.4, 0.0, 0.3), 10.6)
    assert isinstance(detector.health(10.6), Healthy)


def test_shed_load_is_no_evidence(detector: Detector) -> None:
    _, verdict = run(
        detector, [RequestOutcome(OutcomeKind.REFUSED, 0.001)] * 200
    )
    assert isinstance(verdict, Healthy)


def test_latency_is_no_evidence_without_peers(detector: Detector) -> None:
    _, verdict = run(detector, latencies(30.0, 200, 4), None)
    assert isinstance(verdict, Healthy)


def test_requests_in_flight_during_a_pause_are_no_evidence(
    detector: Detector,
) -> None:
    detector.on_baseline(PEERS, 10.0)
    detector.on_inflight([10.0] * 7)
    detector.reset(40.0)
    assert isinstance(detector.health(40.0), Healthy)
    for _ in range(7):
        detector.on_outcome(RequestOutcome(OutcomeKind.TIMEOUT, 30.0), 40.01)
    assert isinstance(detector.health(40.01), Healthy)
