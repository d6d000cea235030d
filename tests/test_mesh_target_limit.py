"""Targets that name a request limit, or their end, in their answers."""

import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio
from tests.owner_standins import (
    NOTHING,
    REQUEST,
    SpeakingTarget,
    make_attempt,
    make_owner,
    submit_steadily,
)

from clementinedeal._events import EventLog
from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._absences import FORGET_SECONDS, MAX_ABSENT
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._contracts import TargetStatement
from clementinedeal.mesh._health import FAST_FAILURE_RATIO
from clementinedeal.mesh._outcomes import (
    MeshOutcome,
    TargetCondition,
    not_run,
)
from clementinedeal.mesh._plan import FinishStep, Plan, SendStep
from clementinedeal.mesh._sender import Sender
from clementinedeal.mesh._target_limit import TargetLimit
from clementinedeal.mesh._types import RouteRule, Target, WeightedService

# the rule of the platform: requests in WINDOW_SECONDS, from SETTLED_SECONDS on
WINDOW_SECONDS = 4
SETTLED_SECONDS = 3


@pytest.mark.parametrize('limit', [0, 0.2, 1, 2.8, 5.5])
async def test_target_gets_no_more_requests_than_the_limit_it_names(
    nursery, autojump_clock, limit
):
    target = SpeakingTarget()
    target.statement = limited(limit)
    owner = make_owner(target, nursery)
    started_at = trio.current_time()
    await submit_steadily(owner, 15, insist=True)
    allowed = 1.5 * limit * WINDOW_SECONDS + 5
    assert target.most_arrivals(started_at + SETTLED_SECONDS) <= allowed


async def test_target_that_says_it_leaves_gets_no_further_request(
    nursery, autojump_clock
):
    target = SpeakingTarget()
    target.statement = TargetStatement(leaving=True)
    owner = make_owner(target, nursery)
    await owner.submit(make_attempt('first'), REQUEST).done.wait()
    execution = owner.submit(make_attempt('second', insist=True), REQUEST)
    await execution.done.wait()
    assert execution.outcome.reason is Reason.DRAINING
    assert len(target.arrivals) == 1


def limited(limit):
    return TargetStatement(request_limit=limit)


PROCESS = Target(
    name='t1', service='s', address='h:1', zone='a', slots=7, started_ms=5
)


def make_limit():
    clock = VirtualClock(100.0)
    limit = TargetLimit(clock, EventLog('i', '1'))
    limit.set_target(PROCESS)
    return limit, clock


def test_refusal_or_earlier_answer_without_a_limit_does_not_end_it():
    limit, clock = make_limit()
    limit.on_statement(limited(2), sent_at=99.0)
    clock.advance(0.5)
    limit.on_statement(NOTHING, sent_at=99.5)
    assert limit.limit == 2
    limit.on_statement(NOTHING, sent_at=None)
    assert limit.limit == 2
    limit.on_statement(NOTHING, sent_at=100.2)
    assert limit.limit is None


def test_unreadable_limit_keeps_the_former_one():
    limit, clock = make_limit()
    limit.on_statement(limited(2), sent_at=99.0)
    clock.advance(1)
    limit.on_statement(TargetStatement(limit_unreadable=True), sent_at=100.5)
    assert limit.limit == 2


def test_another_process_starts_without_statements():
    limit, _ = make_limit()
    limit.on_statement(
        TargetStatement(request_limit=2, leaving=True), sent_at=99.0
    )
    limit.set_target(replace(PROCESS, started_ms=6))
    assert limit.limit is None
    assert not limit.is_leaving


async def test_restarted_owner_keeps_the_limit_that_entries_know(
    nursery, autojump_clock
):
    target = SpeakingTarget()
    target.statement = limited(1)
    target.work_seconds = 3.0
    owner = make_owner(target, nursery)
    await submit_steadily(owner, 4, insist=True, limit=1.0)
    assert target.most_arrivals(since=0) <= 1.5 * WINDOW_SECONDS + 5


async def test_first_answer_ends_a_limit_known_only_to_entries(
    nursery, autojump_clock
):
    target = SpeakingTarget()
    owner = make_owner(target, nursery)
    await submit_steadily(owner, 4, insist=True, limit=1.0)
    assert owner.limit.limit is None
    assert target.most_arrivals(since=2) > 20


async def test_next_token_goes_to_the_most_urgent_request(
    nursery, autojump_clock
):
    target = SpeakingTarget()
    target.statement = limited(1)
    owner = make_owner(target, nursery)
    await owner.submit(make_attempt('first'), REQUEST).done.wait()
    late = owner.submit(make_attempt('late', rank=(2, 0), wait=5), REQUEST)
    await trio.sleep(0.1)
    urgent = owner.submit(make_attempt('urgent', rank=(1, 0), wait=5), REQUEST)
    await urgent.done.wait()
    assert urgent.outcome.succeeded
    assert not late.done.is_set()


async def test_token_of_a_request_that_is_never_sent_is_used_by_another(
    nursery, autojump_clock
):
    target = SpeakingTarget()
    target.statement = limited(0.2)
    owner = make_owner(target, nursery)
    await owner.submit(make_attempt('first'), REQUEST).done.wait()
    await trio.sleep(5)
    # its body never arrives
    await owner.submit(make_attempt('bodiless'), None).done.wait()
    execution = owner.submit(make_attempt('second'), REQUEST)
    await execution.done.wait()
    assert execution.outcome.succeeded


async def test_full_limit_is_a_refusal_that_reaches_no_target(
    nursery, autojump_clock
):
    target = SpeakingTarget()
    target.statement = limited(1)
    owner = make_owner(target, nursery)
    await owner.submit(make_attempt('first'), REQUEST).done.wait()
    execution = owner.submit(make_attempt('second', wait=0.5), REQUEST)
    await execution.done.wait()
    outcome = execution.outcome
    assert outcome.reason is Reason.TARGET_LIMITED
    assert not outcome.reached
    assert outcome.state.limit == 1
    assert outcome.state.pause == pytest.approx(1, abs=0.05)
    assert owner.health.is_trusted


TARGETS = tuple(
    Target(name=f't{n}', service='s', address=f'h{n}:1', zone='a', slots=7)
    for n in range(3)
)


def make_balancer(targets=TARGETS, clock=None):
    clock = clock or VirtualClock()
    balancer = Balancer('h9', 'a', clock, random.Random(1))
    balancer.set_targets(targets)
    return balancer


def condition(**more):
    return TargetCondition(
        limit_known=more.pop('limit_known', True),
        risk=0.1,
        running=0,
        waiting=0,
        slots=7,
        wait=more.pop('wait', 0),
        **more,
    )


def test_entry_tells_the_limit_until_the_process_is_replaced():
    balancer = make_balancer()
    balancer.on_condition('t0', condition(limit=2.0))
    # a restarted owner has not heard of it yet
    balancer.on_condition('t0', condition(limit_known=False))
    assert balancer.known_limit(TARGETS[0]) == 2
    replaced = replace(TARGETS[0], started_ms=9)
    balancer.set_targets((replaced,))
    assert balancer.known_limit(replaced) is None


def test_entry_sends_nothing_to_a_process_that_said_it_leaves():
    balancer = make_balancer()
    balancer.on_condition('t0', condition(leaving_ms=0))
    # a restarted owner knows nothing of it
    balancer.on_condition('t0', condition())
    balancer.set_targets(TARGETS)
    names = {one.name for one in balancer.available_targets('s')}
    assert names == {'t1', 't2'}
    balancer.set_targets((replace(TARGETS[0], started_ms=9),))
    assert len(balancer.available_targets('s')) == 1


@pytest.mark.parametrize('absent_seconds', [0, FORGET_SECONDS - 1])
def test_statements_outlive_an_absence_from_the_list(absent_seconds):
    clock = VirtualClock()
    balancer = make_balancer(clock=clock)
    balancer.on_condition('t1', condition(limit=2.0))
    balancer.set_targets(TARGETS[2:])
    # an answer that was under way when the entry vanished
    balancer.on_attempt_started('t0')
    outcome = MeshOutcome(verdict=Verdict.RAN, state=condition(leaving_ms=0))
    balancer.on_attempt_ended('t0', outcome)
    assert not balancer.rank_targets(TARGETS[:2], (), avoid_risk=False)
    clock.advance(absent_seconds)
    balancer.set_targets(TARGETS)
    assert balancer.available_targets('s') == list(TARGETS[1:])
    assert balancer.known_limit(TARGETS[1]) == 2


def test_memory_of_departed_targets_is_bounded():
    clock = VirtualClock()
    balancer = make_balancer((), clock)
    for number in range(MAX_ABSENT + 10):
        balancer.set_targets([replace(TARGETS[0], name=f'n{number}')])
    assert len(balancer._observations) <= MAX_ABSENT + 1
    balancer.set_targets(TARGETS)
    clock.advance(FORGET_SECONDS)
    balancer.set_targets(TARGETS)
    assert balancer._observations.keys() == {one.name for one in TARGETS}


async def test_statement_is_told_although_the_entry_has_vanished(
    nursery, autojump_clock
):
    target = SpeakingTarget()
    target.statement = TargetStatement(leaving=True)
    owner = make_owner(target, nursery)
    owner.health.observe(FAST_FAILURE_RATIO, 'failed-at-once')
    listed, risk = owner.target, owner.health.risk
    execution = owner.submit(make_attempt('first', insist=True), REQUEST)
    await trio.sleep(0.1)
    owner.set_target(None)
    await execution.done.wait()
    assert execution.outcome.state.leaving_ms == listed.started_ms
    owner.set_target(listed)
    assert owner.accepted_target == ''
    assert owner.health.risk > risk / 2


def test_process_whose_clock_was_set_back_starts_without_statements():
    balancer = make_balancer([replace(TARGETS[0], started_ms=9)])
    balancer.on_condition('t0', condition(limit=2.0, leaving_ms=9))
    balancer.set_targets(TARGETS[:1])
    assert balancer.available_targets('s') == [TARGETS[0]]
    assert balancer.known_limit(TARGETS[0]) is None


def test_target_without_a_token_is_tried_last():
    balancer = make_balancer()
    for target in TARGETS:
        pause = 0.8 if target.name == 't1' else 0
        balancer.on_condition(target.name, condition(pause=pause))
    ranked = balancer.rank_targets(TARGETS, (), avoid_risk=False)
    assert ranked[-1].name == 't1'


def test_request_is_rejected_at_once_if_all_targets_are_limited():
    balancer = make_balancer()
    route = RouteRule(
        name='r',
        host='h',
        prefix='/',
        weighted_services=(WeightedService(service='s', weight=1),),
        idempotent=True,
        timeout=5,
        objective=2,
        priority=0,
        max_targets=2,
        public=False,
    )
    plan = Plan(route, 's', balancer, None, deadline=5)
    step = plan.next_step(0)
    while isinstance(step, SendStep):
        state = condition(limit=0.2, pause=4, wait=4)
        balancer.on_condition(step.target.name, state)
        plan.on_outcome(step.target.name, not_run(Reason.TARGET_LIMITED, state))
        step = plan.next_step(0)
    assert isinstance(step, FinishStep)
    assert step.outcome.verdict is Verdict.NOT_RUN
    assert step.outcome.reason is Reason.TARGET_LIMITED


def test_rejected_callers_return_at_the_rate_of_the_limits():
    balancer = make_balancer()
    for target in TARGETS:
        balancer.on_condition(target.name, condition(limit=2.0))
    clock = VirtualClock()
    sender = Sender(SimpleNamespace(balancer=balancer, clock=clock))
    sender.daemon_count = 3
    admitted = SimpleNamespace(service='s', route=SimpleNamespace(timeout=60))
    refused = not_run(Reason.TARGET_LIMITED)
    returns = [
        sender._schedule_return(admitted, refused).retry_after
        for _ in range(100)
    ]
    # three daemons share six requests a second
    assert returns == pytest.approx([0.5 * (n + 1) for n in range(100)])


@pytest.mark.parametrize('status', [200, 500])
async def test_daemons_use_no_target_that_says_it_leaves(fleet, status):
    leaving = fleet.targets[1]
    leaving.answer_headers = ((b'server-leaving', b'1'),)
    leaving.mode = 'ok' if status == 200 else 'fail'
    seen = len(leaving.executed)
    while len(leaving.executed) == seen:
        await fleet.send(0, '/look/1')
    seen = len(leaving.executed)
    for number in (0, 1, 2) * 10:
        answer, _ = await fleet.send(number, '/look/1')
        assert answer.status == 200
    assert len(leaving.executed) == seen


def test_retry_after_of_the_plan_stays_once_a_limit_has_ended():
    balancer = make_balancer()
    for target in TARGETS[1:]:
        balancer.on_condition(target.name, condition(limit=2.0))
    sender = Sender(SimpleNamespace(balancer=balancer, clock=VirtualClock()))
    admitted = SimpleNamespace(service='s', route=SimpleNamespace(timeout=60))
    refused = replace(not_run(Reason.TARGET_LIMITED), retry_after=0.8)
    assert sender._schedule_return(admitted, refused) is refused


async def test_limit_survives_a_restart_of_the_daemon_beside_the_target(
    nursery, autojump_clock
):
    target = SpeakingTarget()
    target.statement = limited(0.2)
    owner = make_owner(target, nursery)
    await submit_steadily(owner, 8, insist=True)
    balancer = make_balancer()
    balancer.on_condition('t1', owner.target_condition())
    target.on_statement.clear()
    target.work_seconds = 2.0
    restarted = make_owner(target, nursery)
    balancer.on_condition('t1', restarted.target_condition())
    limit = balancer.known_limit(TARGETS[1])
    await submit_steadily(restarted, 4, insist=True, limit=limit)
    allowed = 1.5 * 0.2 * WINDOW_SECONDS + 5
    assert target.most_arrivals(since=SETTLED_SECONDS) <= allowed
