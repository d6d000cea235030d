"""Targets that drop idle connections without closing them."""

import pytest
import trio
from tests.broken_answer_standin import reset
from tests.ports import free_address

from clementinedeal._events import EventLog
from clementinedeal._pool import ConnPool, split_address
from clementinedeal._timers import MonotonicClock, VirtualClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._contracts import CallContext
from clementinedeal.mesh._idle_limit import LIMIT_LIFETIME_SECONDS, IdleLimit
from clementinedeal.mesh._target_client import BufferedRequest, TargetClient
from clementinedeal.platform import PlatformDialect

TARGET_IDLE_LIMIT_SECONDS = 0.2
HEADERS = ((b'host', b'x'), (b'attempt-id', b'r1'))
MESSAGE = BufferedRequest('GET', '/look/1', HEADERS, b'')
CALL_CONTEXT = CallContext(
    req_id='r1', seconds_left=2.0, target='t1', account='', caller_service=''
)


class ForgetfulTarget:
    """Answers requests, but resets a connection that was idle for too long.

    :param idle_limit: in seconds.
    """

    answer = (
        b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n'
        b'content-length: 2\r\n\r\nok'
    )

    def __init__(self, idle_limit):
        self.idle_limit = idle_limit
        self.connection_count = 0

    async def serve(self, stream):
        self.connection_count += 1
        while True:
            before = trio.current_time()
            if not await stream.receive_some():
                return
            if trio.current_time() - before > self.idle_limit:
                reset(stream)
                return
            await trio.sleep(0.01)
            await stream.send_all(self.answer)


@pytest.fixture
async def target(nursery):
    forgetful_target = ForgetfulTarget(TARGET_IDLE_LIMIT_SECONDS)
    address = free_address()
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    nursery.start_soon(trio.serve_listeners, forgetful_target.serve, listeners)
    clock = MonotonicClock()
    forgetful_target.events = EventLog('i', '1')
    pool = ConnPool(clock)
    forgetful_target.client = TargetClient(
        address, pool, PlatformDialect(), clock, forgetful_target.events
    )
    return forgetful_target


async def test_one_request_is_lost_before_the_idle_limit_is_learned(target):
    reasons = []
    for _ in range(4):
        outcome = await target.client.call(MESSAGE, CALL_CONTEXT)
        reasons.append(outcome.reason)
        if outcome.reason is not None:
            assert outcome.verdict is Verdict.MAY_HAVE_RUN
            assert outcome.reached
        await trio.sleep(TARGET_IDLE_LIMIT_SECONDS * 1.5)
    assert reasons == [None, Reason.CONNECTION_FORGOTTEN, None, None]
    assert target.events.json_lines().count(b'connection-forgotten') == 1


async def test_connections_in_use_are_kept(target):
    for _ in range(10):
        assert (await target.client.call(MESSAGE, CALL_CONTEXT)).succeeded
        await trio.sleep(TARGET_IDLE_LIMIT_SECONDS / 4)
    assert target.connection_count == 1


async def test_a_cut_answer_does_not_change_the_idle_limit(target):
    target.idle_limit = 0
    await target.client.call(MESSAGE, CALL_CONTEXT)
    outcome = await target.client.call(MESSAGE, CALL_CONTEXT)
    assert outcome.reason is Reason.ANSWER_INCOMPLETE


def test_a_learned_idle_limit_expires():
    clock = VirtualClock()
    limit = IdleLimit(clock)
    assert limit.max_idle_seconds() == float('inf')
    limit.on_connection_forgotten(0.4)
    assert limit.max_idle_seconds() == pytest.approx(0.2)
    limit.on_connection_forgotten(3.0)
    assert limit.max_idle_seconds() == pytest.approx(0.2)
    clock.advance(LIMIT_LIFETIME_SECONDS + 0.1)
    assert limit.max_idle_seconds() == float('inf')


async def test_an_unreadable_answer_does_not_change_the_idle_limit(target):
    target.idle_limit = 10
    await target.client.call(MESSAGE, CALL_CONTEXT)
    target.answer = b'junk\r\n\r\n'
    await trio.sleep(TARGET_IDLE_LIMIT_SECONDS)
    outcome = await target.client.call(MESSAGE, CALL_CONTEXT)
    assert outcome.reason is Reason.ANSWER_INCOMPLETE
    assert b'connection-forgotten' not in target.events.json_lines()
