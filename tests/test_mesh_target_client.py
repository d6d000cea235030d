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


class ScriptedTarget:
    """Sends the bytes ``answer`` to each request and closes the connection."""

    def __init__(self, answer):
        self.answer = answer

    async def serve(self, stream):
        await stream.receive_some()
        if self.answer:
            await stream.send_all(self.answer)


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
    'status_line', [b'HTTP/1.1 503 Busy\r\nnot-executed: 1', b'HTTP/1.1 421 No']
)
async def test_refusal_without_an_id_is_not_accepted_on_a_kept_connection(
    nursery, status_line
):
    refusal = status_line + b'\r\ncontent-length: 0\r\n\r\n'
    target = RepeatingTarget([refusal])
    client = await start(target, nursery)
    await call(client, 'r1')
    outcome = await call(client, 'r2')
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason is Reason.ANSWER_WRONG


@pytest.mark.parametrize('status', [b'404 No', b'500 Bad'])
async def test_failure_without_an_id_is_not_passed_on(nursery, status):
    failure = b'HTTP/1.1 %b\r\nserver-seal: s\r\ncontent-length: 0\r\n\r\n'
    client = await start(RepeatingTarget([failure % status]), nursery)
    await call(client, 'r1')
    outcome = await call(client, 'r2')
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert not outcome.status


async def test_refusal_without_an_id_is_accepted_on_a_new_connection(nursery):
    refusal = b'HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n'
    client = await start(ScriptedTarget(refusal), nursery)
    outcome = await call(client, 'r1')
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason is Reason.WRONG_INCARNATION


async def test_repeated_refusal_of_the_same_request_is_not_accepted(nursery):
    refusal = (
        b'HTTP/1.1 503 Busy\r\nattempt-id: r1\r\nnot-executed: 1\r\n'
        b'content-length: 0\r\n\r\n'
    )
    client = await start(ScriptedTarget(refusal), nursery)
    assert (await call(client, 'r1')).verdict is Verdict.NOT_RUN
    # the caller sends its request again: this may be the former refusal
    assert (await call(client, 'r1')).verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    'framing',
    [b'content-length: 2\r\n', b'transfer-encoding: chunked\r\n', b''],
    ids=['length', 'chunked', 'until-close'],
)
async def test_answer_that_ends_inside_its_head_is_never_a_success(
    nursery, framing
):
    head = b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n' + framing
    target = ScriptedTarget(b'')
    client = await start(target, nursery)
    for size in range(len(head) + 2):
        target.answer = (head + b'\r\n')[:size]
        outcome = await call(client, 'r1')
        assert outcome.verdict is Verdict.MAY_HAVE_RUN, target.answer
        assert not outcome.status


@pytest.mark.parametrize(
    'body',
    [
        b'content-length: 2\r\n\r\nr',
        b'transfer-encoding: chunked\r\n\r\n2\r\nr1\r\n0\r\n',
    ],
)
async def test_answer_that_ends_inside_its_body_is_never_a_success(
    nursery, body
):
    head = b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n'
    client = await start(ScriptedTarget(head + body), nursery)
    outcome = await call(client, 'r1')
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason is Reason.ANSWER_INCOMPLETE


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
