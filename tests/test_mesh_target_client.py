"""Targets that send answers to other requests on a kept-alive connection."""

import pytest
import trio
from tests.ports import free_address

from clementinedeal._events import EventLog
from clementinedeal._pool import ConnPool, split_address
from clementinedeal._timers import MonotonicClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._contracts import CallContext
from clementinedeal.mesh._target_client import BufferedRequest, TargetClient
from clementinedeal.platform import PlatformDialect

WORK_SECONDS = 0.1


def answer(req_id):
    return (
        b'HTTP/1.1 200 OK\r\nattempt-id: %b\r\nserver-seal: s\r\n'
        b'content-length: 2\r\n\r\n%b' % (req_id, req_id)
    )


class RepeatingTarget:
    """Sends given bytes before its late answer to the second request."""

    def __init__(self, pieces):
        self.pieces = pieces
        self.connection_count = 0

    async def serve(self, stream):
        self.connection_count += 1
        await stream.receive_some()
        await stream.send_all(answer(b'r1'))
        await stream.receive_some()
        for piece in self.pieces:
            await stream.send_all(piece)
            await trio.sleep(WORK_SECONDS)
        await stream.send_all(answer(b'r2'))
        await stream.receive_some()


async def start(target, nursery):
    """Start a target; return a client of it."""
    address = free_address()
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    nursery.start_soon(trio.serve_listeners, target.serve, listeners)
    clock = MonotonicClock()
    pool = ConnPool(clock)
    events = EventLog('i', '1')
    return TargetClient(address, pool, PlatformDialect(), clock, events)


async def call(client, req_id):
    headers = ((b'host', b'x'), (b'attempt-id', req_id.encode()))
    request = BufferedRequest('POST', '/book/1', headers, b'x')
    context = CallContext(
        req_id=req_id,
        seconds_left=2.0,
        target='t1',
        account='',
        caller_service='',
    )
    return await client.call(request, context)


async def test_unmatched_answer_fails_the_request_at_once(nursery):
    target = RepeatingTarget([answer(b'r0')])
    client = await start(target, nursery)
    assert (await call(client, 'r1')).body == b'r1'
    with trio.fail_after(WORK_SECONDS):
        outcome = await call(client, 'r2')
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason is Reason.ANSWER_WRONG


async def test_refusal_of_another_request_is_not_accepted(nursery):
    refusal = b'HTTP/1.1 503 Busy\r\nattempt-id: r0\r\nnot-executed: 1\r\n'
    target = RepeatingTarget([refusal + b'content-length: 0\r\n\r\n'])
    client = await start(target, nursery)
    await call(client, 'r1')
    assert (await call(client, 'r2')).verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    'pieces',
    [
        [answer(b'r1')],
        [answer(b'r1'), answer(b'r1')],
        [answer(b'r1') + answer(b'r1')],
        [answer(b'r1')[:30], answer(b'r1')[30:]],
    ],
    ids=['one', 'apart', 'together', 'split'],
)
async def test_late_repeated_answer_does_not_lose_the_next_answer(
    nursery, pieces
):
    target = RepeatingTarget(pieces)
    client = await start(target, nursery)
    assert (await call(client, 'r1')).body == b'r1'
    assert (await call(client, 'r2')).body == b'r2'
    assert target.connection_count == 1
