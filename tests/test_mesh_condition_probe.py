"""Entries that ask owners for their condition before they send a request."""

import random

import pytest
import trio

from clementinedeal._timers import VirtualClock
from clementinedeal.mesh._balancer import (
    ASKED_ELSEWHERE,
    ASKED_IN_ZONE,
    CANDIDATES_ELSEWHERE,
    MAX_CANDIDATES,
    Balancer,
)
from clementinedeal.mesh._condition_messages import (
    ConditionReply,
    ConditionRequest,
)
from clementinedeal.mesh._condition_probe import REPLY_SECONDS, ConditionProbe
from clementinedeal.mesh._health import (
    COMPLETED_RATIO,
    FAST_FAILURE_RATIO,
    SURVIVED_RATIO,
    HealthEstimate,
)
from clementinedeal.mesh._outcomes import TargetCondition
from clementinedeal.mesh._plan import Plan
from clementinedeal.mesh._types import RouteRule, Target, WeightedService

SLOTS = 3
FREE = TargetCondition(risk=0.05, running=0, waiting=0, slots=SLOTS, wait=0.0)
FULL = TargetCondition(risk=0.05, running=3, waiting=4, slots=SLOTS, wait=1.0)
SICK = TargetCondition(risk=0.9, running=0, waiting=0, slots=SLOTS, wait=0.0)
# Gray failures as the platform's targets have them: in each period a part of
# the targets fails most of its requests.
SICK_FRACTION = 0.3
SICK_SECONDS = 9.0
SICK_FAILURE_PROBABILITY = 0.75
# Requests that may run once, and others, for each target.
BOOKINGS_PER_SECOND = 0.6
LOOKUPS_PER_SECOND = 0.6
ENTRIES_PER_TARGET = 2
# Requests whose candidates are compared.
CHOICES = 50

ROUTE = RouteRule(
    name='r',
    host='h',
    prefix='/',
    weighted_services=(WeightedService(service='bench', weight=1),),
    idempotent=False,
    timeout=8,
    objective=2.8,
    priority=0,
    max_targets=2,
    public=False,
)


def make_targets(count):
    return [
        Target(
            name=f't{number}',
            service='bench',
            address=f'10.0.{number // 250}.{number % 250}:80',
            zone='abcdef'[number % 6],
            slots=SLOTS,
        )
        for number in range(count)
    ]


def make_balancer(targets, clock, host='10.9.0.1', zone='a', seed=1):
    balancer = Balancer(host, zone, clock, random.Random(seed))
    balancer.set_targets(targets)
    return balancer


def make_plan(balancer, now):
    return Plan(ROUTE, 'bench', balancer, None, now + ROUTE.timeout)


class TargetModel:
    """A target with gray phases, and its owner's estimate."""

    def __init__(self, clock):
        self.clock = clock
        self.is_sick = False
        self.estimate = HealthEstimate(clock)

    def condition(self):
        return TargetCondition(
            risk=self.estimate.risk(),
            running=0,
            waiting=0,
            slots=SLOTS,
            wait=0.0,
        )

    def run(self, rng):
        """Run a request; return whether it fails."""
        has_failed = self.is_sick and rng.random() < SICK_FAILURE_PROBABILITY
        ratios = (
            [FAST_FAILURE_RATIO]
            if has_failed
            else [SURVIVED_RATIO, COMPLETED_RATIO]
        )
        for ratio in ratios:
            self.estimate.observe(ratio)
        return has_failed


def failed_fraction(target_count, choose, seeds=(1, 2, 3)):
    """Return which fraction of bookings fails, over plays with some seeds."""
    plays = [count_failures(target_count, choose, seed) for seed in seeds]
    return sum(failed for failed, _ in plays) / sum(count for _, count in plays)


def count_failures(target_count, choose, seed, seconds=30):
    """Play bookings and lookups; return how many bookings fail of how many.

    :param choose: function of a balancer, the models by name and the time that
        returns the target of a booking.
    """
    rng = random.Random(seed)
    clock = VirtualClock()
    targets = make_targets(target_count)
    models = {one.name: TargetModel(clock) for one in targets}
    entries = [
        make_balancer(targets, clock, zone='abcdef'[number % 6], seed=number)
        for number in range(ENTRIES_PER_TARGET * target_count)
    ]
    rate = target_count * (BOOKINGS_PER_SECOND + LOOKUPS_PER_SECOND)
    booking_fraction = BOOKINGS_PER_SECOND / (
        BOOKINGS_PER_SECOND + LOOKUPS_PER_SECOND
    )
    bookings = failures = 0
    next_change = 0.0
    while clock.now() < seconds:
        if clock.now() >= next_change:
            next_change += SICK_SECONDS
            for model in models.values():
                model.is_sick = rng.random() < SICK_FRACTION
        clock.advance(rng.expovariate(rate))
        if rng.random() > booking_fraction:
            models[rng.choice(targets).name].run(rng)
            continue
        target = choose(rng.choice(entries), models, clock.now())
        bookings += 1
        failures += models[target.name].run(rng)
    return failures, bookings


def choose_blindly(balancer, models, now):
    return balancer.rank_targets(
        balancer.choose_candidates('bench'), (), avoid_risk=True
    )[0]


def choose_after_asking(balancer, models, now):
    plan = make_plan(balancer, now)
    while targets := plan.targets_to_ask():
        for target in targets:
            balancer.on_condition(target.name, models[target.name].condition())
    return plan.next_step(now).target


def choose_with_full_knowledge(balancer, models, now):
    targets = balancer.available_targets('bench')
    return min(targets, key=lambda one: models[one.name].estimate.risk())


@pytest.mark.parametrize('target_count', [11, 40, 121])
def test_fewer_bookings_fail_after_asking(target_count):
    blind = failed_fraction(target_count, choose_blindly)
    asked = failed_fraction(target_count, choose_after_asking)
    known = failed_fraction(target_count, choose_with_full_knowledge)
    assert known < asked < blind / 4


def test_large_services_are_sampled_from_the_own_zone_first():
    clock = VirtualClock()
    balancer = make_balancer(make_targets(400), clock)
    candidates = balancer.choose_candidates('bench')
    assert len(candidates) == MAX_CANDIDATES
    elsewhere = [one for one in candidates if one.zone != 'a']
    assert len(elsewhere) == CANDIDATES_ELSEWHERE
    remembered = make_targets(400)[1]
    balancer.on_condition(remembered.name, FREE)
    assert count_choices(balancer, remembered) == CHOICES
    clock.advance(11)
    assert count_choices(balancer, remembered) <= CHOICES / 10


def count_choices(balancer, target):
    """Return how often a target is among the candidates of some requests."""
    return sum(
        target in balancer.choose_candidates('bench') for _ in range(CHOICES)
    )


def test_asking_ends_with_a_target_that_is_well_and_free():
    balancer = make_balancer(make_targets(40), VirtualClock())
    plan = make_plan(balancer, 0)
    asked = plan.targets_to_ask()
    assert len(asked) == ASKED_IN_ZONE
    assert {one.zone for one in asked} == {'a'}
    balancer.on_condition(asked[0].name, FREE)
    assert plan.targets_to_ask() == []
    assert plan.next_step(0).target == asked[0]


@pytest.mark.parametrize('condition', [FULL, SICK])
def test_others_are_asked_if_the_first_are_full_or_sick(condition):
    balancer = make_balancer(make_targets(20), VirtualClock())
    plan = make_plan(balancer, 0)
    first = plan.targets_to_ask()
    for target in first:
        balancer.on_condition(target.name, condition)
    second = plan.targets_to_ask()
    assert len(first) == ASKED_IN_ZONE
    assert len(second) == ASKED_ELSEWHERE
    assert not {one.name for one in first} & {one.name for one in second}
    assert plan.targets_to_ask() == []
    assert plan.next_step(0).target not in first


class Owner:
    def __init__(self, name):
        self.accepted_target = name

    def target_condition(self):
        return FREE


class Network:
    """Delivers messages between probes; those for ``lost`` hosts are lost."""

    def __init__(self, lost=()):
        self.probes = {}
        self.lost = lost

    def add(self, host, name, balancer):
        probe = ConditionProbe(host, Owner(name), balancer, Link(self, host))
        self.probes[host] = probe
        return probe


class Link:
    def __init__(self, network, host):
        self.network = network
        self.host = host

    async def send(self, host, body):
        await trio.lowlevel.checkpoint()
        if host not in self.network.lost:
            await self.network.probes[host].on_message(self.host, body)


async def test_replies_are_recorded_and_silent_owners_avoided(autojump_clock):
    targets = make_targets(3)
    balancer = make_balancer(targets, VirtualClock(), host=targets[0].host)
    network = Network(lost=[targets[2].host])
    for target in targets:
        network.add(target.host, target.name, balancer)
    started_at = trio.current_time()
    await network.probes[targets[0].host].ask(targets)
    assert trio.current_time() - started_at == pytest.approx(REPLY_SECONDS)
    assert [balancer.is_promising(one) for one in targets] == [
        True,
        True,
        False,
    ]
    ranked = balancer.rank_targets(targets, (), avoid_risk=False)
    assert ranked[-1] == targets[2]


async def test_reply_for_another_target_or_question_is_not_recorded():
    targets = make_targets(2)
    balancer = make_balancer(targets, VirtualClock())
    network = Network()
    probe = network.add('10.9.0.1', '', balancer)
    network.add(targets[0].host, 'successor', balancer)
    await probe.ask(targets[:1])
    await probe.on_message(
        targets[1].host, ConditionReply(1, targets[1].name, FREE)
    )
    assert not any(balancer.is_known(one) for one in targets)


async def test_question_is_answered_with_the_accepted_target():
    sent = []

    class Recorder:
        async def send(self, host, body):
            sent.append((host, body))

    probe = ConditionProbe('10.9.0.1', Owner('t5'), None, Recorder())
    await probe.on_message('10.9.0.2', ConditionRequest(8))
    assert sent == [('10.9.0.2', ConditionReply(8, 't5', FREE))]
