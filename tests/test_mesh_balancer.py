"""The order in which an entry tries the targets of a service."""

import random

from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Reason
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._outcomes import TargetCondition, not_run
from clementinedeal.mesh._types import Target

DOWNLOAD_BYTES = 90_000


def make_target(name, zone):
    return Target(
        name=name,
        service='files',
        address=f'10.0.0.{name[1:]}:80',
        zone=zone,
        slots=3,
    )


OWN_ZONE = make_target('t1', 'a')
OTHER_ZONE = make_target('t2', 'b')


def make_balancer(answer_bytes):
    """Return a balancer in zone a after 50 answers of this size."""
    balancer = Balancer('10.0.0.9', 'a', VirtualClock(), random.Random(1))
    balancer.set_targets((OWN_ZONE, OTHER_ZONE))
    for _ in range(50):
        balancer.on_answer('files', answer_bytes)
    return balancer


def report(balancer, target, *, running, risk=0.1):
    """Record that a target has refused an attempt in this condition."""
    state = TargetCondition(
        risk=risk, running=running, waiting=0, slots=3, wait=0.0
    )
    balancer.on_attempt_started(target.name)
    balancer.on_attempt_ended(target.name, not_run(Reason.QUEUE_FULL, state))


def first_choice(balancer):
    candidates = balancer.choose_candidates('files')
    return balancer.rank_targets(candidates, (), avoid_risk=False)[0]


def test_busy_target_of_the_own_zone_keeps_large_answers():
    balancer = make_balancer(DOWNLOAD_BYTES)
    report(balancer, OWN_ZONE, running=3)
    report(balancer, OTHER_ZONE, running=0)
    assert first_choice(balancer) is OWN_ZONE


def test_small_answers_go_to_a_free_target_of_another_zone():
    balancer = make_balancer(600)
    report(balancer, OWN_ZONE, running=3)
    report(balancer, OTHER_ZONE, running=0)
    assert first_choice(balancer) is OTHER_ZONE


def test_large_answers_leave_the_zone_if_its_target_is_avoided():
    balancer = make_balancer(DOWNLOAD_BYTES)
    balancer.on_attempt_started(OWN_ZONE.name)
    balancer.on_attempt_ended(OWN_ZONE.name, not_run(Reason.TARGET_EJECTED))
    assert first_choice(balancer) is OTHER_ZONE
