"""What the plan of a request does after each event."""

import pytest

from clementinedeal import _attempt_events as ev
from clementinedeal._attempt_plan import PROOF_WINDOW_SECONDS, AttemptPlan
from clementinedeal._attempt_set import CANCEL_WAIT_SECONDS, AttemptRequest
from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._model import Preset, PresetName
from clementinedeal._retry_budget import RetryBudget
from clementinedeal._verdict import Reason, Verdict

FIRST = ev.SendAttempt('r/0', 'a')
SECOND = ev.SendAttempt('r/1', 'b')


def begin(*, idempotent: bool, hedge_after: float = 0.0) -> AttemptPlan:
    plan = AttemptPlan(
        AttemptRequest(
            req_id='r',
            idempotent=idempotent,
            preset=Preset(name=PresetName.ORDINARY, hedge_after=hedge_after),
            candidates=('a', 'b', 'c'),
            deadline=10,
        ),
        RetryBudget(),
    )
    assert plan.start(0) == (FIRST,)
    return plan


def failed(verdict: Verdict) -> ev.AttemptFailed:
    return ev.AttemptFailed('r/0', verdict, Reason.TARGET_FAILED)


def test_a_request_that_may_have_run_is_retried_only_if_idempotent() -> None:
    event = failed(Verdict.MAY_HAVE_RUN)
    assert begin(idempotent=True).on_event(event, 1) == (SECOND,)
    assert begin(idempotent=False).on_event(event, 1) == (
        ev.RefuseRequest(Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED),
    )


def test_a_request_that_did_not_run_is_retried_if_its_body_is_kept() -> None:
    event = failed(Verdict.NOT_RUN)
    assert begin(idempotent=False).on_event(event, 1) == (SECOND,)
    plan = begin(idempotent=False)
    plan.on_event(ev.BodyNotReplayable(), 1)
    assert plan.on_event(event, 1) == (
        ev.RefuseRequest(Verdict.NOT_RUN, Reason.TARGET_FAILED),
    )


@pytest.mark.parametrize(
    ('answer', 'verdict'),
    [
        (CancelAnswer.NEVER_STARTED, Verdict.NOT_RUN),
        (CancelAnswer.STARTED, Verdict.MAY_HAVE_RUN),
        (CancelAnswer.FINISHED, Verdict.RAN),
        (CancelAnswer.UNKNOWN, Verdict.MAY_HAVE_RUN),
    ],
)
def test_the_answer_to_the_cancel_gives_the_verdict_after_a_timeout(
    answer: CancelAnswer, verdict: Verdict
) -> None:
    plan = begin(idempotent=False)
    assert plan.next_timeout() == 10
    assert plan.on_event(ev.Timeout(), 10) == (ev.CancelAttempt('r/0', 'a'),)
    assert plan.next_timeout() == 10 + CANCEL_WAIT_SECONDS
    assert plan.on_event(ev.CancelAnswered('r/0', answer), 10.1) == (
        ev.RefuseRequest(verdict, Reason.DEADLINE),
    )


def test_a_missing_or_late_cancel_answer_does_not_prove_not_run() -> None:
    unproved = (ev.RefuseRequest(Verdict.MAY_HAVE_RUN, Reason.DEADLINE),)
    plan = begin(idempotent=False)
    plan.on_event(ev.Timeout(), 10)
    assert plan.on_event(ev.Timeout(), 10 + CANCEL_WAIT_SECONDS) == unproved
    plan = begin(idempotent=False)
    late = PROOF_WINDOW_SECONDS + 1
    plan.on_event(ev.Timeout(), late)
    answer = ev.CancelAnswered('r/0', CancelAnswer.NEVER_STARTED)
    assert plan.on_event(answer, late) == unproved


def test_a_lost_connection_is_retried_if_the_owner_never_started_it() -> None:
    plan = begin(idempotent=False)
    lost = ev.ConnectionLost('r/0')
    assert plan.on_event(lost, 1) == (ev.CancelAttempt('r/0', 'a'),)
    answer = ev.CancelAnswered('r/0', CancelAnswer.NEVER_STARTED)
    assert plan.on_event(answer, 1.1) == (SECOND,)


def test_the_first_answer_cancels_the_other_attempt() -> None:
    assert begin(idempotent=False, hedge_after=1).next_timeout() == 10
    plan = begin(idempotent=True, hedge_after=1)
    assert plan.on_event(ev.Timeout(), 1) == (SECOND,)
    head = ev.AnswerHead('r/1', 200)
    assert plan.on_event(head, 2) == (
        ev.RelayAnswer('r/1'),
        ev.CancelAttempt('r/0', 'a'),
    )
    late = ev.AttemptFailed('r/0', Verdict.NOT_RUN, Reason.CANCELLED)
    assert plan.on_event(late, 3) == ()
    plan.on_event(ev.AnswerComplete('r/1'), 3)
    assert plan.finished


def test_an_incomplete_answer_is_retried_refused_or_aborted() -> None:
    for idempotent, sent, expected in (
        (True, False, SECOND),
        (False, False, ev.RefuseRequest(Verdict.RAN, Reason.ANSWER_INCOMPLETE)),
        (True, True, ev.AbortStream(Verdict.RAN, Reason.ANSWER_INCOMPLETE)),
    ):
        plan = begin(idempotent=idempotent)
        plan.on_event(ev.AnswerHead('r/0', 200), 1)
        short = ev.AnswerIncomplete('r/0', sent)
        assert plan.on_event(short, 2) == (expected,)


def test_a_503_is_retried_elsewhere_only_if_idempotent() -> None:
    head = ev.AnswerHead('r/0', 503)
    plan = begin(idempotent=True)
    assert plan.on_event(head, 1) == (ev.CancelAttempt('r/0', 'a'), SECOND)
    assert begin(idempotent=False).on_event(head, 1) == (ev.RelayAnswer('r/0'),)


def test_the_budget_bounds_retries_to_a_fraction_of_first_attempts() -> None:
    budget = RetryBudget(limit=1)
    assert budget.take()
    for _ in range(3):
        assert not budget.take()
        budget.add_first_attempt(0.25)
    budget.add_first_attempt(0.25)
    assert budget.take()
