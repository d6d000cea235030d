"""The plan of attempts: what is tried, retried and abandoned."""

import random

import pytest

from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._outcomes import MeshOutcome, TargetCondition, not_run
from clementinedeal.mesh._plan import FinishStep, PauseStep, Plan, SendStep
from clementinedeal.mesh._types import RouteRule, Target, WeightedService

TARGETS = tuple(
    Target(
        name=f't{number}',
        service='till',
        address=f'10.0.0.{number}:80',
        zone='a',
        slots=7,
    )
    for number in range(3)
)
FAILED = MeshOutcome(
    verdict=Verdict.RAN,
    reason=Reason.TARGET_FAILED,
    reached=True,
    status=500,
)
LOST = MeshOutcome(
    verdict=Verdict.MAY_HAVE_RUN,
    reason=Reason.ANSWER_INCOMPLETE,
    reached=True,
)
SHED = MeshOutcome(
    verdict=Verdict.NOT_RUN, reason=Reason.QUEUE_FULL, reached=True
)
ANSWERED = MeshOutcome(verdict=Verdict.RAN, reached=True, status=200)


class RetryTokens:
    """A bucket of retry tokens that is never refilled."""

    def __init__(self, level=10):
        self.level = level

    def take(self):
        self.level -= 1
        return self.level >= 0


def make_plan(*, idempotent, max_targets=2, retry_tokens=None, targets=TARGETS):
    route = RouteRule(
        name='r',
        host='h',
        prefix='/',
        weighted_services=(WeightedService(service='till', weight=1),),
        idempotent=idempotent,
        timeout=5,
        objective=2,
        priority=0,
        max_targets=max_targets,
        public=False,
    )
    balancer = Balancer('10.0.0.0', 'a', VirtualClock(), random.Random(1))
    balancer.set_targets(targets)
    return Plan(
        route, 'till', balancer, retry_tokens or RetryTokens(), deadline=5
    )


def run_plan(plan, outcomes, now=0.0):
    """Run a plan whose attempts end with the given outcomes, in this order.

    Return the send steps and the final outcome.
    """
    steps = []
    pending = list(outcomes)
    while True:
        step = plan.next_step(now)
        if isinstance(step, FinishStep):
            return steps, step.outcome
        if isinstance(step, PauseStep):
            now += step.seconds
            continue
        steps.append(step)
        plan.on_outcome(step.target.name, pending.pop(0))


def test_a_succeeded_request_is_not_sent_again():
    steps, outcome = run_plan(make_plan(idempotent=False), [ANSWERED])
    assert len(steps) == 1
    assert outcome is ANSWERED


@pytest.mark.parametrize('outcome', [FAILED, LOST])
def test_a_request_that_may_have_run_is_not_sent_again(outcome):
    steps, end = run_plan(make_plan(idempotent=False), [outcome])
    assert len(steps) == 1
    assert end is outcome


def test_a_failed_idempotent_request_is_retried_at_another_target():
    steps, end = run_plan(make_plan(idempotent=True), [FAILED, ANSWERED])
    assert end is ANSWERED
    assert steps[0].target != steps[1].target
    assert not any(step.scout for step in steps)


def test_no_more_targets_than_the_route_allows():
    steps, end = run_plan(make_plan(idempotent=True), [FAILED, FAILED])
    assert len(steps) == 2
    assert end is FAILED


def test_no_retry_without_a_token():
    plan = make_plan(idempotent=True, retry_tokens=RetryTokens(0))
    steps, end = run_plan(plan, [FAILED])
    assert len(steps) == 1
    assert end is FAILED


def test_refusals_by_owners_cost_no_retries():
    tokens = RetryTokens(0)
    plan = make_plan(idempotent=False, retry_tokens=tokens)
    refused = not_run(Reason.TARGET_EJECTED)
    steps, end = run_plan(plan, [refused, refused, ANSWERED])
    assert end is ANSWERED
    assert tokens.level == 0
    assert len({step.target.name for step in steps}) == 3


def test_a_rejection_by_the_target_costs_a_retry():
    tokens = RetryTokens(1)
    plan = make_plan(idempotent=False, retry_tokens=tokens)
    _, end = run_plan(plan, [SHED, ANSWERED])
    assert end is ANSWERED
    assert tokens.level == 0


def test_a_request_queues_when_all_targets_are_busy():
    busy = not_run(Reason.QUEUE_FULL)
    steps, end = run_plan(make_plan(idempotent=False), [busy] * 3 + [ANSWERED])
    assert end is ANSWERED
    assert steps[-1].wait > 0.5
    assert not steps[-1].insist


def test_queues_no_longer_than_the_objective_in_all():
    plan = make_plan(idempotent=False)
    now = 0.0
    waited = 0.0
    for _ in range(20):
        step = plan.next_step(now)
        if isinstance(step, FinishStep):
            break
        if isinstance(step, PauseStep):
            now += step.seconds
            continue
        waited += step.wait
        now += step.wait
        plan.on_outcome(step.target.name, not_run(Reason.QUEUE_FULL))
    assert isinstance(step, FinishStep)
    assert step.outcome.verdict is Verdict.NOT_RUN
    assert 1 < waited <= 2 + 1e-9


def test_a_request_queues_once_at_each_target():
    busy = not_run(Reason.QUEUE_FULL)
    steps, end = run_plan(make_plan(idempotent=False), [busy] * 5 + [ANSWERED])
    assert end is ANSWERED
    assert len({step.target for step in steps if step.wait}) == 3


def test_a_request_insists_when_all_targets_are_suspect():
    suspect = not_run(Reason.TARGET_EJECTED)
    steps, end = run_plan(
        make_plan(idempotent=False), [suspect] * 3 + [ANSWERED]
    )
    assert end is ANSWERED
    assert steps[-1].insist


def test_a_suspect_target_is_tried_once_when_the_others_are_busy():
    busy = not_run(Reason.QUEUE_FULL)
    suspect = not_run(Reason.TARGET_EJECTED)
    outcomes = [busy, suspect, busy, suspect, ANSWERED]
    steps, end = run_plan(make_plan(idempotent=False), outcomes)
    assert end is ANSWERED
    assert [step.scout for step in steps] == [False] * 3 + [True, False]
    assert steps[3].target == steps[1].target
    assert steps[4].wait > 0
    assert not any(step.insist for step in steps)


def test_all_targets_are_tried_before_a_request_insists():
    targets = tuple(
        Target(
            name=f't{number}',
            service='till',
            address=f'10.0.0.{number}:80',
            zone='a',
            slots=7,
        )
        for number in range(8)
    )
    plan = make_plan(idempotent=False, targets=targets)
    suspect = not_run(Reason.TARGET_EJECTED)
    steps, end = run_plan(plan, [suspect] * 7 + [ANSWERED])
    assert end is ANSWERED
    assert not any(step.insist for step in steps)


def test_without_targets_a_request_is_reported_as_not_run():
    _, end = run_plan(make_plan(idempotent=False, targets=()), [])
    assert end.verdict is Verdict.NOT_RUN
    assert end.reason is Reason.NO_TARGET
    assert end.retry_after > 0


@pytest.mark.parametrize('first', [FAILED, LOST])
def test_a_rejected_retry_does_not_hide_that_the_first_attempt_ran(first):
    steps, end = run_plan(make_plan(idempotent=True), [first, SHED])
    assert len(steps) == 2
    assert end is first


def test_a_lost_answer_is_not_reported_as_not_run():
    plan = make_plan(idempotent=True)
    step = plan.next_step(0)
    assert isinstance(step, SendStep)
    plan.on_outcome(step.target.name, LOST)
    end = plan.next_step(5.0)
    assert isinstance(end, FinishStep)
    assert end.outcome.verdict is Verdict.MAY_HAVE_RUN


def test_no_retry_right_before_the_deadline():
    plan = make_plan(idempotent=True)
    step = plan.next_step(0)
    assert isinstance(step, SendStep)
    plan.on_outcome(step.target.name, FAILED)
    assert isinstance(plan.next_step(4.9), FinishStep)


def test_a_silent_target_is_abandoned_if_time_is_left_for_another():
    plan = make_plan(idempotent=True)
    step = plan.next_step(0)
    assert isinstance(step, SendStep)
    assert 2 < step.overdue_after < 3
    silent = MeshOutcome(
        verdict=Verdict.MAY_HAVE_RUN,
        reason=Reason.DEADLINE,
        reached=True,
    )
    plan.on_outcome(step.target.name, silent)
    again = plan.next_step(2.7)
    assert isinstance(again, SendStep)
    assert again.target != step.target
    assert again.overdue_after == pytest.approx(2.3)


def test_a_non_idempotent_request_is_not_abandoned():
    step = make_plan(idempotent=False).next_step(0)
    assert isinstance(step, SendStep)
    assert step.overdue_after == 5


def test_abandoning_an_attempt_takes_one_retry_in_advance():
    tokens = RetryTokens(1)
    plan = make_plan(idempotent=True, retry_tokens=tokens)
    step = plan.next_step(0)
    assert isinstance(step, SendStep)
    assert plan.reserve_retry(2.6)
    assert plan.reserve_retry(2.6)
    assert tokens.level == 0
    silent = MeshOutcome(
        verdict=Verdict.MAY_HAVE_RUN,
        reason=Reason.DEADLINE,
        reached=True,
    )
    plan.on_outcome(step.target.name, silent)
    assert isinstance(plan.next_step(2.7), SendStep)


def test_no_attempt_is_abandoned_without_a_retry_or_time_for_it():
    plan = make_plan(idempotent=True, retry_tokens=RetryTokens(0))
    plan.next_step(0)
    assert not plan.reserve_retry(2.6)
    plan = make_plan(idempotent=True)
    plan.next_step(0)
    assert not plan.reserve_retry(4.9)


def test_no_attempt_is_abandoned_when_other_targets_are_full():
    tokens = RetryTokens(1)
    plan = make_plan(idempotent=True, retry_tokens=tokens)
    step = plan.next_step(0)
    state = TargetCondition(risk=0.1, running=7, waiting=3, slots=7, wait=1.0)
    for target in TARGETS:
        plan._balancer.on_attempt_started(target.name)
        plan._balancer.on_attempt_ended(
            target.name, not_run(Reason.QUEUE_FULL, state)
        )
    assert not plan.reserve_retry(2.6)
    assert tokens.level == 1
    free = TargetCondition(risk=0.1, running=1, waiting=0, slots=7, wait=0.0)
    other = next(candidate for candidate in TARGETS if candidate != step.target)
    plan._balancer.on_attempt_ended(
        other.name, not_run(Reason.QUEUE_FULL, free)
    )
    assert plan.reserve_retry(2.6)


@pytest.mark.parametrize('idempotent', [True, False])
def test_only_an_idempotent_attempt_is_taken_over(idempotent):
    plan = make_plan(idempotent=idempotent)
    plan.next_step(0)
    assert (plan.takeover_step(2.6) is not None) is idempotent
