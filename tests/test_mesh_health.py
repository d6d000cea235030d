"""The estimate of a target's health."""

from clementinedeal._timers import VirtualClock
from clementinedeal.mesh import _health as evidence
from clementinedeal.mesh._health import TargetHealth
from clementinedeal.mesh._suspicion import MOST_RISK


def make():
    clock = VirtualClock()
    return TargetHealth(clock), clock


def test_trusted_at_first():
    health, _ = make()
    assert health.risk() < MOST_RISK


def test_one_fast_failure_makes_a_proven_target_suspect():
    health, _ = make()
    for _ in range(5):
        health.observe(evidence.SURVIVED)
    assert health.risk() < 0.05
    assert health.observe(evidence.FAST_FAILURE) > MOST_RISK


def test_one_slow_failure_does_not():
    health, _ = make()
    for _ in range(3):
        health.observe(evidence.SURVIVED)
    assert health.observe(evidence.SLOW_FAILURE) < MOST_RISK


def test_trials_that_survive_bring_it_back():
    health, clock = make()
    health.observe(evidence.FAST_FAILURE)
    assert health.risk() > MOST_RISK
    trials = 0
    while health.risk() > MOST_RISK:
        clock.advance(0.4)
        health.observe(evidence.SURVIVED)
        trials += 1
    assert 1 <= trials <= 5


def test_suspicion_fades_without_evidence():
    health, clock = make()
    for _ in range(3):
        health.observe(evidence.FAST_FAILURE)
    clock.advance(20)
    assert health.risk() < MOST_RISK


def test_another_process_starts_anew():
    health, _ = make()
    first = health.risk()
    health.observe(evidence.FAST_FAILURE)
    health.renew()
    assert health.risk() == first
