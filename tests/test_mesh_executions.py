"""Attempts that arrive twice, late or after a query that forbids them."""

import msgspec
import pytest
import trio

from clementinedeal._events import EventLog
from clementinedeal._http import RequestHead
from clementinedeal._timers import MonotonicClock, VirtualClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh import _health as evidence
from clementinedeal.mesh import _health_tracker
from clementinedeal.mesh import _peer_wire as wire
from clementinedeal.mesh._call_failures import CallFailures
from clementinedeal.mesh._evacuations import EvacuationTracker
from clementinedeal.mesh._executions import (
    RETENTION_SECONDS,
    Execution,
    MeshExecutionTable,
)
from clementinedeal.mesh._metrics import DaemonMetrics
from clementinedeal.mesh._outcomes import MeshAttempt, MeshOutcome
from clementinedeal.mesh._owner import MeshOwner, MeshOwnerParts
from clementinedeal.mesh._peer_server import MeshPeerServer
from clementinedeal.mesh._target_client import BufferedRequest
from clementinedeal.mesh._types import Evacuations, Revision, Target

MESSAGE = BufferedRequest('POST', '/', (), b'x')


def make_attempt(name='a1', *, idempotent=False, **more):
    return MeshAttempt(
        attempt=name,
        req_id='r1',
        target='t1',
        left=2.0,
        objective=1.0,
        idempotent=idempotent,
        account='shop',
        caller='s',
        rank=(0, 0),
        **more,
    )


class CountingTargetClient:
    """Stands in for the client of a target; counts runs, of 50 ms each."""

    def __init__(self):
        self.runs = 0
        self.on_statement = []

    async def call(self, message, context):
        self.runs += 1
        await trio.sleep(0.05)
        return MeshOutcome(verdict=Verdict.RAN, reached=True, status=200)


@pytest.fixture
def owner(nursery):
    clock = MonotonicClock()
    mesh_owner = MeshOwner(
        MeshOwnerParts(
            clock=clock,
            events=EventLog('i', '1'),
            target_client=CountingTargetClient(),
            call_failures=CallFailures(clock),
            evacuations=EvacuationTracker(clock, EventLog('i', '1')),
            metrics=DaemonMetrics(),
            nursery=nursery,
        ),
    )
    mesh_owner.set_target(
        Target(
            name='t1',
            service='s',
            address='127.0.0.1:1',
            zone='a',
            slots=1,
        ),
    )
    return mesh_owner


def head(name, value):
    return RequestHead('POST', '/', ((name, value),))


async def test_a_duplicate_attempt_runs_once(owner, nursery):
    server = MeshPeerServer(owner, EventLog('i', '1'), nursery)
    sent = msgspec.json.encode(make_attempt(idempotent=True))
    _, first = server._dispatch(head(wire.ATTEMPT_HEADER, sent), MESSAGE)
    _, second = server._dispatch(head(wire.ATTEMPT_HEADER, sent), MESSAGE)
    assert first is second
    await first.done.wait()
    assert owner._parts.target_client.runs == 1


async def test_a_duplicate_body_runs_once(owner, nursery):
    server = MeshPeerServer(owner, EventLog('i', '1'), nursery)
    sent = msgspec.json.encode(make_attempt())
    _, reservation = server._dispatch(head(wire.RESERVE_HEADER, sent), MESSAGE)
    await reservation.body_wanted.wait()
    assert owner._parts.target_client.runs == 0
    for _ in range(2):
        _, run = server._dispatch(head(wire.RUN_HEADER, b'a1'), MESSAGE)
        assert run is reservation
    await reservation.done.wait()
    assert owner._parts.target_client.runs == 1
    assert reservation.outcome.status == 200


async def test_a_slot_is_released_when_no_body_arrives(owner):
    reservation = owner.submit(make_attempt(), None)
    await reservation.done.wait()
    assert reservation.outcome.verdict is Verdict.NOT_RUN
    assert owner.slot_queue.running == 0


async def test_an_attempt_that_arrives_after_a_query_for_it_never_runs(
    owner, nursery
):
    server = MeshPeerServer(owner, EventLog('i', '1'), nursery)
    await trio.sleep(0.05)
    query = msgspec.json.encode(('a1', 0.01))
    _, answer = server._dispatch(head(wire.ASK_HEADER, query), MESSAGE)
    assert answer.verdict is Verdict.NOT_RUN
    sent = msgspec.json.encode(make_attempt(idempotent=True))
    _, late_answer = server._dispatch(head(wire.ATTEMPT_HEADER, sent), MESSAGE)
    assert late_answer.verdict is Verdict.NOT_RUN
    assert late_answer.reason is Reason.CANCELLED
    await trio.sleep(0.05)
    assert owner._parts.target_client.runs == 0


async def test_a_draining_target_refuses_its_queued_attempts(owner):
    running = owner.submit(make_attempt('a1'), MESSAGE)
    await trio.sleep(0.01)
    waiting = owner.submit(make_attempt('a2', wait=1.0), MESSAGE)
    await trio.sleep(0.01)
    owner.set_target(
        Target(
            name='t1',
            service='s',
            address='127.0.0.1:1',
            zone='a',
            slots=1,
            draining=True,
        ),
    )
    await running.done.wait()
    await waiting.done.wait()
    assert running.outcome.status == 200
    assert waiting.outcome.verdict is Verdict.NOT_RUN
    assert waiting.outcome.reason is Reason.DRAINING


async def test_an_evacuation_refuses_queued_attempts_at_once(owner):
    running = owner.submit(make_attempt('a1'), MESSAGE)
    await trio.sleep(0.01)
    waiting = owner.submit(make_attempt('a2', wait=1.0), MESSAGE)
    await trio.sleep(0.01)
    evacuations = owner._parts.evacuations
    shown = Evacuations(revision=Revision(1, 1), zones=frozenset('a'))
    evacuations.on_reported(shown)
    await waiting.done.wait()
    assert waiting.outcome.verdict is Verdict.NOT_RUN
    assert waiting.outcome.reason is Reason.ZONE_EVACUATED
    assert not running.done.is_set()
    await running.done.wait()
    assert running.outcome.status == 200
    assert owner.accepted_target == ''
    insisting = owner.submit(make_attempt('a3', insist=True), MESSAGE)
    await insisting.done.wait()
    assert insisting.outcome.reason is Reason.ZONE_EVACUATED
    evacuations.on_reported(Evacuations(revision=Revision(1, 2)))
    restored = owner.submit(make_attempt('a4'), MESSAGE)
    await restored.done.wait()
    assert restored.outcome.status == 200


async def test_an_exception_in_one_attempt_does_not_end_the_daemon(owner):
    owner._parts.target_client.call = fail
    failed = owner.submit(make_attempt('a1'), MESSAGE)
    await failed.done.wait()
    assert failed.outcome.verdict is Verdict.MAY_HAVE_RUN
    owner._parts.target_client.call = CountingTargetClient().call
    next_one = owner.submit(make_attempt('a2'), MESSAGE)
    await next_one.done.wait()
    assert next_one.outcome.status == 200


async def fail(message, context):
    raise ValueError('bug')


def test_a_restarted_owner_cannot_prove_that_an_older_attempt_never_ran():
    clock = VirtualClock(50)
    table = MeshExecutionTable(clock)
    clock.advance(1)
    assert not table.forbid('a1', age=1.5)
    assert table.forbid('a2', age=0.5)


def test_ended_attempts_expire():
    clock = VirtualClock()
    table = MeshExecutionTable(clock)
    execution = Execution(make_attempt(), MESSAGE, 2.0)
    assert table.add(execution)
    assert not table.add(execution)
    table.expire_later('a1')
    clock.advance(RETENTION_SECONDS + 1)
    table.expire_later('other')
    assert table.find('a1') is None


async def test_one_trial_at_a_time_reaches_a_suspect_target(owner):
    owner.health.observe(evidence.FAST_FAILURE_RATIO, 'failed')
    plain = owner.submit(make_attempt('a1'), MESSAGE)
    trials = [
        owner.submit(make_attempt(f't{number}', scout=True), MESSAGE)
        for number in range(3)
    ]
    for execution in (plain, *trials):
        await execution.done.wait()
    assert plain.outcome.reason is Reason.TARGET_EJECTED
    reasons = [trial.outcome.reason for trial in trials]
    assert sorted(reasons, key=str) == [
        None,
        Reason.TARGET_EJECTED,
        Reason.TARGET_EJECTED,
    ]
    assert owner._parts.target_client.runs == 1


async def test_a_call_ranks_as_a_request_only_while_that_runs(owner):
    execution = owner.submit(make_attempt('a1'), MESSAGE)
    rank = execution.attempt.rank
    other = (rank[0] + 1, rank[1] + 1)
    await trio.sleep(0.02)
    assert owner.call_ranks.rank_call(execution.deadline, other[1]) == rank
    await execution.done.wait()
    assert owner.call_ranks.rank_call(execution.deadline, other[1]) != rank


async def test_a_suspect_target_regularly_gets_retriable_requests(
    owner, monkeypatch
):
    monkeypatch.setattr(_health_tracker, 'SPARE_INTERVAL_SECONDS', 0.1)
    for _ in range(4):
        owner.health.observe(evidence.FAST_FAILURE_RATIO, 'failed')
    outcomes = []
    for number in range(3):
        for more in ({'idempotent': False}, {'idempotent': True}):
            spare = more['idempotent']
            attempt = make_attempt(f'{number}{spare}', spare=spare, **more)
            execution = owner.submit(attempt, MESSAGE)
            await execution.done.wait()
            outcomes.append(execution.outcome.reason)
            owner.health.observe(evidence.FAST_FAILURE_RATIO, 'failed')
    assert outcomes[0] is Reason.TARGET_EJECTED
    assert outcomes[1] is None
    assert owner._parts.target_client.runs == 1
    await trio.sleep(0.1)
    again = owner.submit(
        make_attempt('b', spare=True, idempotent=True), MESSAGE
    )
    await again.done.wait()
    assert again.outcome.status == 200
