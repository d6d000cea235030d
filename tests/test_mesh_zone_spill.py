"""Which requests leave the availability zone, and how many."""

import itertools
import random
from dataclasses import replace

import pytest

from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Reason
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._outcomes import TargetCondition, not_run
from clementinedeal.mesh._plan import Plan, SendStep
from clementinedeal.mesh._types import RouteRule, Target, WeightedService
from clementinedeal.mesh._zone_spill import (
    LEAVING,
    MIN_SHARE,
    START_SHARE,
    STEP_SECONDS,
    STEP_SHARE,
    SpillRequest,
    ZoneSpill,
)
from clementinedeal.mesh._zone_view import ZoneView

SLOTS = 3
REQUESTS_PER_STEP = 20
WORK_SECONDS = 0.5
FREE = ZoneView(wait=0.0, risk=0.05)
BUSY = ZoneView(wait=0.5, risk=0.05)
# Slower than a free target, but not by so much that the bytes pay.
SLOWER = ZoneView(wait=0.05, risk=0.05)
ROUTE = RouteRule(
    name='r',
    host='h',
    prefix='/',
    weighted_services=(WeightedService(service='till', weight=1),),
    idempotent=True,
    timeout=4,
    objective=1.5,
    priority=0,
    max_targets=2,
    public=False,
)
PATIENT = replace(ROUTE, objective=6, timeout=8)


def make_targets(zones, slots=SLOTS):
    """Return a target in each of the named zones, one a character."""
    return [
        Target(
            name=f't{number}',
            service='till',
            address=f'10.0.0.{number}:80',
            zone=zone,
            slots=slots,
        )
        for number, zone in enumerate(zones)
    ]


def make_request(clock, *, draw=0.5, avoid_risk=False, seconds_left=1.5):
    return SpillRequest(
        service='till',
        objective=1.5,
        due_at=clock.now() + seconds_left,
        deadline=clock.now() + 4,
        avoid_risk=avoid_risk,
        draw=draw,
    )


def make_spill(zones='aabb', answer_bytes=400):
    """Return a decision that has seen answers of this size, and its clock."""
    clock = VirtualClock()
    spill = ZoneSpill(clock, random.Random(1))
    spill.set_targets('a', make_targets(zones))
    for _ in range(50):
        spill.on_answer('till', answer_bytes, WORK_SECONDS)
    return spill, clock


def decide(spill, clock, inside, outside, seconds=STEP_SECONDS, **kind):
    clock.advance(seconds)
    request = make_request(clock, **kind)
    return spill.judge(request, inside, outside) in LEAVING


def condition(running, waiting=0):
    excess = max(0, running + waiting - SLOTS + 1)
    return TargetCondition(
        risk=0.05,
        running=running,
        waiting=waiting,
        slots=SLOTS,
        wait=excess * WORK_SECONDS / SLOTS,
    )


def make_entry(targets, clock, seed=1):
    balancer = Balancer('10.9.0.1', 'a', clock, random.Random(seed))
    balancer.set_targets(targets)
    return balancer


def first_step(balancer, conditions, clock):
    """Return the first step of a request whose entry asks owners.

    :param conditions: conditions of the targets, by zone.
    """
    plan = Plan(ROUTE, 'till', balancer, None, clock.now() + ROUTE.timeout)
    while targets := plan.targets_to_ask():
        for target in targets:
            balancer.on_condition(target.name, conditions[target.zone])
    return plan.next_step(clock.now())


# The requests that may not leave: there is a free slot inside, leaving is no
# faster, or the request has no place outside.
@pytest.mark.parametrize(
    ('inside', 'outside'),
    [
        (FREE, FREE),
        (BUSY, BUSY),
        (BUSY, ZoneView(wait=0.45, risk=0.05)),
        (BUSY, ZoneView(wait=float('inf'), risk=1.0)),
    ],
)
def test_requests_stay_unless_it_is_much_faster_outside(inside, outside):
    spill, clock = make_spill()
    left = [decide(spill, clock, inside, outside, draw=0) for _ in range(20)]
    assert not any(left)


def test_share_moves_by_steps_and_does_not_flap():
    spill, clock = make_spill()
    shares = [START_SHARE]
    for was_taken in (True,) * 6 + (False,) * 6:
        for _ in range(REQUESTS_PER_STEP):
            clock.advance(STEP_SECONDS / REQUESTS_PER_STEP)
            spill.on_crossing('till', was_taken=was_taken)
        shares.append(spill.shares()['till'])
    steps = [after - before for before, after in itertools.pairwise(shares)]
    assert max(shares) == 1
    assert shares[-1] == MIN_SHARE
    assert max(steps) == STEP_SHARE
    assert min(steps) == -STEP_SHARE
    # a free zone inside moves nothing: the next burst finds the same share
    decide(spill, clock, FREE, FREE)
    assert spill.shares()['till'] == MIN_SHARE


def test_burst_in_one_zone_leaves_as_long_as_others_take_it():
    spill, clock = make_spill()
    left = []
    for taken in (True, True, True, False, False, False):
        left.append(decide(spill, clock, BUSY, FREE, draw=0.6))
        spill.on_crossing('till', was_taken=taken)
    assert left == [False, True, True, True, True, False]
    assert not decide(spill, clock, FREE, FREE, draw=0)


def test_two_entries_do_not_both_rush_to_the_same_free_zone():
    entries = [make_spill() for _ in range(2)]
    rng = random.Random(2)
    free_slots = 4
    left = refused = 0
    for spill, clock in entries * 50:
        if not decide(spill, clock, BUSY, FREE, seconds=0.1, draw=rng.random()):
            continue
        left += 1
        refused += left > free_slots
        spill.on_crossing('till', was_taken=left <= free_slots)
    assert left > free_slots
    assert refused < 0.25 * 100


def test_large_answers_leave_later_than_small_ones():
    for answer_bytes, leaves in ((400, True), (90_000, False)):
        spill, clock = make_spill(answer_bytes=answer_bytes)
        assert decide(spill, clock, BUSY, FREE, draw=0.4) is leaves
        # but they leave if they would be late inside
        late = ZoneView(wait=1.2, risk=0.05)
        assert decide(spill, clock, late, FREE, draw=1)


def test_late_requests_leave_at_once_only_where_they_are_in_time():
    spill, clock = make_spill()
    late = ZoneView(wait=1.2, risk=0.05)
    assert decide(spill, clock, late, FREE, draw=1)
    full = ZoneView(wait=1.1, risk=0.05)
    assert not decide(spill, clock, late, full, draw=1)


def test_request_without_retry_leaves_sick_targets():
    spill, clock = make_spill()
    sick = ZoneView(wait=0.0, risk=0.2)
    assert decide(spill, clock, sick, FREE, avoid_risk=True)
    assert not decide(spill, clock, sick, FREE, avoid_risk=False)


@pytest.mark.parametrize(('zones', 'leaves'), [('abbb', True), ('abab', False)])
def test_zone_with_few_slots_sends_a_steady_share(zones, leaves):
    spill, clock = make_spill()
    targets = make_targets(zones)
    # another service's targets: each zone has two entries
    others = [
        Target(name=f'o{n}', service='o', address='h:1', zone=zone, slots=1)
        for n, zone in enumerate('a' if leaves else '')
    ]
    spill.set_targets('a', targets + others)
    for _ in range(4 * SLOTS):
        spill.on_attempt_started('till', is_inside=True)
    clock.advance(20)
    assert decide(spill, clock, SLOWER, FREE, draw=0.1) is leaves


def test_zone_without_targets_asks_and_uses_the_others():
    clock = VirtualClock()
    balancer = make_entry(make_targets('bbb'), clock)
    step = first_step(balancer, {'b': condition(1)}, clock)
    assert isinstance(step, SendStep)
    assert not step.wait


def test_full_zone_asks_nobody_outside_until_the_request_would_leave():
    clock = VirtualClock()
    balancer = make_entry(make_targets('aabb'), clock)
    asked = []
    plan = Plan(PATIENT, 'till', balancer, None, clock.now() + PATIENT.timeout)
    while targets := plan.targets_to_ask():
        asked.extend(one.zone for one in targets)
        for target in targets:
            balancer.on_condition(target.name, condition(SLOTS))
    step = plan.next_step(clock.now())
    assert asked == ['a', 'a']
    assert step.target.zone == 'a'
    assert step.wait


def test_request_leaves_for_a_free_slot_and_learns_from_refusals():
    clock = VirtualClock()
    balancer = make_entry(make_targets('aabb'), clock)
    conditions = {'a': condition(SLOTS, 8), 'b': condition(0)}
    zones = []
    for _ in range(8):
        clock.advance(STEP_SECONDS)
        zones.append(first_step(balancer, conditions, clock).target.zone)
    assert 2 <= zones.count('b') <= 6
    conditions['b'] = condition(SLOTS, 8)
    clock.advance(1)
    steps = [first_step(balancer, conditions, clock) for _ in range(4)]
    assert {one.target.zone for one in steps[1:]} == {'a'}
    conditions['a'] = condition(0)
    clock.advance(1)
    assert first_step(balancer, conditions, clock).target.zone == 'a'


def test_refusal_by_a_target_that_is_no_longer_listed():
    clock = VirtualClock()
    balancer = make_entry(make_targets('aabb'), clock)
    plan = Plan(ROUTE, 'till', balancer, None, clock.now() + ROUTE.timeout)
    gone = plan.next_step(clock.now()).target
    balancer.set_targets([one for one in make_targets('aabb') if one != gone])
    plan.on_outcome(gone.name, not_run(Reason.NO_TARGET))
    assert plan.next_step(clock.now()).target != gone


def test_other_zones_are_tried_before_a_suspect_target():
    clock = VirtualClock()
    balancer = make_entry(make_targets('aab'), clock)
    balancer.on_condition('t0', condition(SLOTS))
    balancer.on_condition('t1', condition(0))
    plan = Plan(PATIENT, 'till', balancer, None, clock.now() + PATIENT.timeout)
    suspect = plan.next_step(clock.now())
    plan.on_outcome(suspect.target.name, not_run(Reason.TARGET_EJECTED))
    queue = plan.next_step(clock.now())
    plan.on_outcome(queue.target.name, not_run(Reason.QUEUE_FULL))
    escape = plan.next_step(clock.now())
    names = [step.target.name for step in (suspect, queue, escape)]
    assert names == ['t1', 't0', 't2']
    assert [bool(step.wait) for step in (suspect, queue, escape)] == [0, 1, 0]
    assert not any(step.scout or step.insist for step in (queue, escape))
