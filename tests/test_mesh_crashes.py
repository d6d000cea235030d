"""Requests that end the process of their target."""

from dataclasses import replace

import pytest
import trio
from tests.owner_standins import (
    REQUEST,
    TARGET,
    SpeakingTarget,
    make_attempt,
    make_owner,
)

from clementinedeal._events import EventLog
from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._crash_records import (
    CRASHES_TO_REFUSE,
    FORGET_SECONDS,
    REFUSE_SECONDS,
    CrashNotice,
    CrashRecords,
    fingerprint_request,
)
from clementinedeal.mesh._crashes import CRASH_SECONDS, is_early_loss
from clementinedeal.mesh._outcomes import MeshOutcome
from clementinedeal.mesh._target_client import BufferedRequest


async def test_a_deadly_lookup_ends_one_target_only(fleet):
    """It comes while lookups run beside it at every target."""
    statuses = []

    async def send_beside(number):
        answer, _ = await fleet.send(number % 3, f'/look/beside{number}')
        statuses.append(answer.status)

    for target in fleet.targets:
        target.work_seconds = 2 * CRASH_SECONDS
    async with trio.open_nursery() as nursery:
        for number in range(9):
            nursery.start_soon(send_beside, number)
        await trio.sleep(1.5 * CRASH_SECONDS)
        answer, _ = await fleet.send(0, '/look/deadly')
    assert answer.status == 502
    assert answer.header(b'x-reason') == b'target-crashed'
    assert answer.header(b'x-verdict') == b'may-have-run'
    crashed = [one.crash_scope.cancel_called for one in fleet.targets]
    assert crashed.count(True) == 1
    assert statuses == [200] * 9


async def test_a_lost_answer_of_a_running_target_is_no_crash(fleet):
    fleet.targets[0].mode = 'reset'
    for number in range(6):
        await fleet.send(number % 3, '/look/1')
    lines = [daemon.events.json_lines() for daemon in fleet.daemons]
    assert any(b'answer-incomplete' in one for one in lines)
    assert not any(b'target-crashed' in one for one in lines)


@pytest.mark.parametrize(
    ('verdict', 'reason', 'seconds', 'suspect'),
    [
        (Verdict.MAY_HAVE_RUN, Reason.ANSWER_INCOMPLETE, 0.05, True),
        (Verdict.MAY_HAVE_RUN, Reason.CONNECTION_FORGOTTEN, 0.05, True),
        (Verdict.MAY_HAVE_RUN, Reason.ANSWER_INCOMPLETE, 0.3, False),
        (Verdict.MAY_HAVE_RUN, Reason.ANSWER_WRONG, 0.05, False),
        (Verdict.MAY_HAVE_RUN, Reason.DEADLINE, 0.05, False),
        (Verdict.NOT_RUN, Reason.NO_TARGET, 0.05, False),
        (Verdict.RAN, Reason.TARGET_FAILED, 0.05, False),
    ],
)
def test_only_early_losses_are_suspect(verdict, reason, seconds, suspect):
    outcome = MeshOutcome(verdict=verdict, reason=reason, reached=True)
    assert is_early_loss(outcome, seconds) is suspect


async def test_an_equal_request_of_another_caller_is_refused_everywhere(fleet):
    for number in range(CRASHES_TO_REFUSE):
        answer, _ = await fleet.send(number, '/look/deadly', key='key-1')
        assert answer.header(b'x-reason') == b'target-crashed'
        await trio.sleep(0.2)
    for number in range(3):
        answer, _ = await fleet.send(number, '/look/deadly')
        assert answer.status == 503
        assert answer.header(b'x-reason') == b'crashes-targets'
        assert answer.header(b'x-verdict') == b'not-run'
        assert float(answer.header(b'retry-after')) > 0
    crashed = [one.crash_scope.cancel_called for one in fleet.targets]
    assert crashed.count(True) == CRASHES_TO_REFUSE
    answer, _ = await fleet.send(0, '/look/other')
    assert answer.status == 200


def make_records(clock):
    return CrashRecords(clock, EventLog('a', '1'), None, tuple)


def test_a_request_is_refused_for_a_time_after_crashes_of_two_processes():
    clock = VirtualClock()
    records = make_records(clock)
    for _ in range(3):
        records.on_notice(CrashNotice(7, 't1', 1))
    assert not records.seconds_refused(7)
    records.on_notice(CrashNotice(7, 't1', 2))
    assert records.seconds_refused(7) == REFUSE_SECONDS
    assert not records.seconds_refused(8)
    clock.advance(REFUSE_SECONDS)
    assert not records.seconds_refused(7)
    records.on_notice(CrashNotice(7, 't3', 1))
    assert records.seconds_refused(7)


class Network:
    """Passes what one daemon sends on to the records of the other."""

    def __init__(self, records):
        self.records = records
        self.sent = 0

    async def send(self, host, message):
        self.sent += 1
        self.records.on_message(message)


async def test_a_request_that_any_daemon_has_answered_is_not_suspect():
    clock = VirtualClock()
    other = make_records(clock)
    network = Network(other)
    records = CrashRecords(
        clock, EventLog('a', '1'), network, lambda: {'other'}
    )
    await records.report(CrashNotice(7, 't1', 1))
    await records.on_answered(7)
    await records.on_answered(7)
    assert network.sent == 2
    await records.report(CrashNotice(7, 't2', 1))
    assert not records.seconds_refused(7)
    assert not other.seconds_refused(7)
    await records.report(CrashNotice(7, 't3', 1))
    assert other.seconds_refused(7)


def test_equal_requests_have_one_fingerprint():
    def fingerprint(path='/a', body=b'b', host=b'h', req_id=b'1'):
        headers = ((b'host', host), (b'attempt-id', req_id))
        return fingerprint_request(BufferedRequest('GET', path, headers, body))

    assert fingerprint() == fingerprint(req_id=b'2')
    others = {fingerprint('/c'), fingerprint(body=b''), fingerprint(host=b'i')}
    assert len(others | {fingerprint()}) == 4


def test_a_crash_is_forgotten_where_no_equal_request_has_come_since():
    clock = VirtualClock()
    records = make_records(clock)
    records.on_notice(CrashNotice(7, 't1', 1))
    clock.advance(FORGET_SECONDS + 1)
    records.on_notice(CrashNotice(7, 't2', 1))
    assert not records.seconds_refused(7)


class CrashingTarget(SpeakingTarget):
    """A target that is gone before it answers; ``owner`` is told meanwhile."""

    listed = TARGET

    async def call(self, request, context):
        self.owner.set_target(self.listed)
        return MeshOutcome(
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.ANSWER_INCOMPLETE,
            reached=True,
        )

    async def is_down(self):
        return True


@pytest.mark.parametrize(
    ('listed', 'notices'),
    [
        (TARGET, [('t1', 0)]),
        # the next process was listed before the loss was seen
        (replace(TARGET, started_ms=9), [('t1', 0)]),
        (replace(TARGET, draining=True), []),
        (None, []),
        (replace(TARGET, name='t2'), []),
    ],
)
async def test_only_the_end_of_a_target_in_service_is_a_crash(
    listed, notices, nursery
):
    target = CrashingTarget()
    target.listed = listed
    target.owner = make_owner(target, nursery)
    seen = []
    target.owner.crash_detector.on_crash.append(seen.append)
    execution = target.owner.submit(make_attempt(1), REQUEST)
    await execution.done.wait()
    assert [(one.target, one.started_ms) for one in seen] == notices
    is_crash = execution.outcome.reason is Reason.TARGET_CRASHED
    assert is_crash is bool(notices)
