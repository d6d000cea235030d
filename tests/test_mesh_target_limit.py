"""Targets that name a request limit, or their end, in their answers."""

import bisect

import pytest
import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._call_failures import CallFailures
from clementinedeal.mesh._contracts import TargetStatement
from clementinedeal.mesh._metrics import DaemonMetrics
from clementinedeal.mesh._outcomes import MeshAttempt, MeshOutcome
from clementinedeal.mesh._owner import MeshOwner, MeshOwnerParts
from clementinedeal.mesh._target_client import BufferedRequest
from clementinedeal.mesh._target_limit import TargetLimit
from clementinedeal.mesh._types import Target

NOTHING = TargetStatement()
REQUEST = BufferedRequest('GET', '/', (), b'')
WORK_SECONDS = 0.2
# the rule of the platform: requests in WINDOW_SECONDS, from SETTLED_SECONDS on
WINDOW_SECONDS = 4
SETTLED_SECONDS = 3


class TrioClock:
    """The clock of the running event loop, which a test can speed up."""

    def now(self):
        return trio.current_time()


class SpeakingTarget:
    """Stands in for a target's client; answers carry ``statement``."""

    def __init__(self):
        self.statement = NOTHING
        self.on_statement = []
        self.arrivals = []

    async def call(self, request, context):
        sent_at = trio.current_time()
        self.arrivals.append(sent_at)
        await trio.sleep(WORK_SECONDS)
        for handler in self.on_statement:
            handler(self.statement, sent_at)
        return MeshOutcome(verdict=Verdict.RAN, reached=True, status=200)

    def most_arrivals(self, since):
        """Return the most arrivals in a window that begins at ``since``."""
        arrivals = [at for at in self.arrivals if at >= since]
        return max(
            (
                bisect.bisect_left(arrivals, at + WINDOW_SECONDS) - number
                for number, at in enumerate(arrivals)
            ),
            default=0,
        )


def make_owner(target_client, nursery):
    clock = TrioClock()
    owner = MeshOwner(
        MeshOwnerParts(
            clock=clock,
            events=EventLog('i', '1'),
            target_client=target_client,
            call_failures=CallFailures(clock),
            metrics=DaemonMetrics(),
            nursery=nursery,
        ),
    )
    owner.set_target(
        Target(name='t1', service='s', address='h:1', zone='a', slots=7)
    )
    return owner


def make_attempt(number, **more):
    return MeshAttempt(
        attempt=f'a{number}',
        req_id=f'r{number}',
        target='t1',
        left=5.0,
        objective=1.0,
        idempotent=True,
        account='shop',
        caller='s',
        rank=more.pop('rank', (0, 0)),
        **more,
    )


async def submit_steadily(owner, seconds, **more):
    """Submit 20 attempts a second; return their executions."""
    executions = []
    for number in range(int(seconds * 20)):
        attempt = make_attempt(
            f'{trio.current_time()}.{number}', wait=number % 3 * 0.5, **more
        )
        executions.append(owner.submit(attempt, REQUEST))
        await trio.sleep(0.05)
    return executions


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


def make_limit():
    clock = VirtualClock(100.0)
    limit = TargetLimit(clock, EventLog('i', '1'))
    limit.reset('t1')
    return limit, clock


def test_answer_written_before_the_limit_was_named_does_not_end_it():
    limit, clock = make_limit()
    limit.on_statement(limited(2), sent_at=99.0)
    clock.advance(0.5)
    limit.on_statement(NOTHING, sent_at=99.5)
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
    limit.reset('t2')
    assert limit.limit is None
    assert not limit.is_leaving
