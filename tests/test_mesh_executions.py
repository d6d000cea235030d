"""Attempts that come twice, late or after they were forbidden."""

import msgspec
import pytest
import trio

from clementinedeal._events import EventLog
from clementinedeal._http import RequestHead
from clementinedeal._timers import MonotonicClock, VirtualClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh import _health as evidence
from clementinedeal.mesh import _peer_wire as wire
from clementinedeal.mesh import _suspicion
from clementinedeal.mesh._calls import CallFailures
from clementinedeal.mesh._executions import (
    KEPT_SECONDS,
    Execution,
    ExecutionTable,
)
from clementinedeal.mesh._origin import Message
from clementinedeal.mesh._outcomes import Attempt, Outcome
from clementinedeal.mesh._owner import Owner, OwnerParts
from clementinedeal.mesh._peer_server import PeerServer
from clementinedeal.mesh._tally import Tally
from clementinedeal.mesh._types import Target

MESSAGE = Message('POST', '/', (), b'x')


def make_attempt(name='a1', *, idempotent=False, **more):
    return Attempt(
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


class Origin:
    """Counts runs and takes a while for each."""

    def __init__(self):
        self.runs = 0

    async def call(self, message, stamp):
        self.runs += 1
        await trio.sleep(0.05)
        return Outcome(verdict=Verdict.RAN, reached=True, status=200)


@pytest.fixture
def owner(nursery):
    clock = MonotonicClock()
    made = Owner(
        OwnerParts(
            clock=clock,
            events=EventLog('i', '1'),
            origin=Origin(),
            calls=CallFailures(clock),
            tally=Tally(),
            nursery=nursery,
        ),
    )
    made.take_target(
        Target(
            name='t1',
            service='s',
            address='127.0.0.1:1',
            zone='a',
            slots=1,
        ),
    )
    return made


def head(name, value):
    return RequestHead('POST', '/', ((name, value),))


async def test_a_forward_that_comes_twice_runs_once(owner, nursery):
    server = PeerServer(owner, EventLog('i', '1'), nursery)
    sent = msgspec.json.encode(make_attempt(idempotent=True))
    first = server._find(head(wire.ATTEMPT_HEADER, sent), MESSAGE)
    second = server._find(head(wire.ATTEMPT_HEADER, sent), MESSAGE)
    assert first is second
    await first.done.wait()
    assert owner._parts.origin.runs == 1


async def test_a_body_that_comes_twice_runs_once(owner, nursery):
    server = PeerServer(owner, EventLog('i', '1'), nursery)
    sent = msgspec.json.encode(make_attempt())
    held = server._find(head(wire.RESERVE_HEADER, sent), MESSAGE)
    await held.wanted.wait()
    assert owner._parts.origin.runs == 0
    for _ in range(2):
        run = server._find(head(wire.RUN_HEADER, b'a1'), MESSAGE)
        assert run is held
    await held.done.wait()
    assert owner._parts.origin.runs == 1
    assert held.outcome.status == 200


async def test_a_slot_without_its_body_is_given_back(owner):
    held = owner.submit(make_attempt(), None)
    await held.done.wait()
    assert held.outcome.verdict is Verdict.NOT_RUN
    assert owner.slots.running == 0


async def test_a_forward_after_the_question_never_runs(owner, nursery):
    server = PeerServer(owner, EventLog('i', '1'), nursery)
    await trio.sleep(0.05)
    asked = msgspec.json.encode(('a1', 0.01))
    answer = server._find(head(wire.ASK_HEADER, asked), MESSAGE)
    assert answer.verdict is Verdict.NOT_RUN
    sent = msgspec.json.encode(make_attempt(idempotent=True))
    late = server._find(head(wire.ATTEMPT_HEADER, sent), MESSAGE)
    assert late.verdict is Verdict.NOT_RUN
    assert late.reason is Reason.CANCELLED
    await trio.sleep(0.05)
    assert owner._parts.origin.runs == 0


async def test_leaving_target_refuses_what_waits_in_its_queue(owner):
    running = owner.submit(make_attempt('a1'), MESSAGE)
    await trio.sleep(0.01)
    waiting = owner.submit(make_attempt('a2', wait=1.0), MESSAGE)
    await trio.sleep(0.01)
    owner.take_target(
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


async def test_a_part_that_fails_ends_one_attempt_and_not_the_daemon(owner):
    owner._parts.origin.call = fail
    failed = owner.submit(make_attempt('a1'), MESSAGE)
    await failed.done.wait()
    assert failed.outcome.verdict is Verdict.MAY_HAVE_RUN
    owner._parts.origin.call = Origin().call
    next_one = owner.submit(make_attempt('a2'), MESSAGE)
    await next_one.done.wait()
    assert next_one.outcome.status == 200


async def fail(message, stamp):
    raise ValueError('bug')


def test_a_young_owner_proves_nothing_of_what_was_sent_before():
    clock = VirtualClock(50)
    table = ExecutionTable(clock)
    clock.advance(1)
    assert not table.forbid('a1', age=1.5)
    assert table.forbid('a2', age=0.5)


def test_attempts_are_forgotten_after_a_while():
    clock = VirtualClock()
    table = ExecutionTable(clock)
    execution = Execution(make_attempt(), MESSAGE, 2.0)
    assert table.open(execution)
    assert not table.open(execution)
    table.close('a1')
    clock.advance(KEPT_SECONDS + 1)
    table.close('other')
    assert table.find('a1') is None


async def test_one_trial_at_a_time_reaches_a_suspect_target(owner):
    owner.suspicion.observe(evidence.FAST_FAILURE, 'failed')
    plain = owner.submit(make_attempt('a1'), MESSAGE)
    trials = [
        owner.submit(make_attempt(f't{number}', scout=True), MESSAGE)
        for number in range(3)
    ]
    for execution in (plain, *trials):
        await execution.done.wait()
    assert plain.outcome.reason is Reason.TARGET_EJECTED
    reasons = [one.outcome.reason for one in trials]
    assert sorted(reasons, key=str) == [
        None,
        Reason.TARGET_EJECTED,
        Reason.TARGET_EJECTED,
    ]
    assert owner._parts.origin.runs == 1


async def test_a_call_is_as_urgent_as_what_the_target_works_on(owner):
    assert owner.most_urgent is None
    execution = owner.submit(make_attempt('a1'), MESSAGE)
    await trio.sleep(0.02)
    assert owner.most_urgent == execution.attempt.rank
    await execution.done.wait()
    assert owner.most_urgent is None


async def test_a_suspect_target_is_not_left_out_for_long(owner, monkeypatch):
    monkeypatch.setattr(_suspicion, 'LEFT_OUT_SECONDS', 0.1)
    for _ in range(4):
        owner.suspicion.observe(evidence.FAST_FAILURE, 'failed')
    outcomes = []
    for number in range(3):
        for more in ({'idempotent': False}, {'idempotent': True}):
            spare = more['idempotent']
            attempt = make_attempt(f'{number}{spare}', spare=spare, **more)
            execution = owner.submit(attempt, MESSAGE)
            await execution.done.wait()
            outcomes.append(execution.outcome.reason)
            owner.suspicion.observe(evidence.FAST_FAILURE, 'failed')
    assert outcomes[0] is Reason.TARGET_EJECTED
    assert outcomes[1] is None
    assert owner._parts.origin.runs == 1
    await trio.sleep(0.1)
    again = owner.submit(
        make_attempt('b', spare=True, idempotent=True), MESSAGE
    )
    await again.done.wait()
    assert again.outcome.status == 200
