"""The estimated probability that a target is unhealthy."""

from clementinedeal._timers import VirtualClock
from clementinedeal.mesh import _health as evidence
from clementinedeal.mesh._health import HealthEstimate
from clementinedeal.mesh._health_tracker import MAX_TRUSTED_RISK


def make_estimate():
    clock = VirtualClock()
    return HealthEstimate(clock), clock


def test_a_new_target_is_trusted():
    health, _ = make_estimate()
    assert health.risk() < MAX_TRUSTED_RISK


def test_one_fast_failure_makes_a_proven_target_suspect():
    health, _ = make_estimate()
    for _ in range(5):
        health.observe(evidence.SURVIVED_RATIO)
    assert health.risk() < 0.05
    assert health.observe(evidence.FAST_FAILURE_RATIO) > MAX_TRUSTED_RISK


def test_one_slow_failure_leaves_a_target_trusted():
    health, _ = make_estimate()
    for _ in range(3):
        health.observe(evidence.SURVIVED_RATIO)
    assert health.observe(evidence.SLOW_FAILURE_RATIO) < MAX_TRUSTED_RISK


def test_surviving_trials_restore_trust():
    health, clock = make_estimate()
    health.observe(evidence.FAST_FAILURE_RATIO)
    assert health.risk() > MAX_TRUSTED_RISK
    trials = 0
    while health.risk() > MAX_TRUSTED_RISK:
        clock.advance(0.4)
        health.observe(evidence.SURVIVED_RATIO)
        trials += 1
    assert 1 <= trials <= 5


def test_suspicion_fades_without_evidence():
    health, clock = make_estimate()
    for _ in range(3):
        health.observe(evidence.FAST_FAILURE_RATIO)
    clock.advance(20)
    assert health.risk() < MAX_TRUSTED_RISK


def test_a_new_process_does_not_inherit_risk():
    health, _ = make_estimate()
    first = health.risk()
    health.observe(evidence.FAST_FAILURE_RATIO)
    health.reset()
    assert health.risk() == first
