"""Answers that never end, are too long or come in many tiny pieces."""

import contextlib
import json

import pytest
import trio
import trio.testing
from tests.endless_standin import (
    BODIES,
    HEADS,
    OK_HEAD,
    EndlessStandIn,
)
from tests.ports import free_address
from tests.test_target_call import make_call

from clementinedeal._client_conn import ClientConn
from clementinedeal._events import EventLog
from clementinedeal._http import (
    BROKEN_STREAM_ERRORS,
    HttpLimits,
    RequestHead,
)
from clementinedeal._operator_client import NoAnswerError, fetch
from clementinedeal._pool import ConnPool, split_address
from clementinedeal._replies import TargetAnswer
from clementinedeal._server_conn import ServerConn
from clementinedeal._target_call import ANSWER_BUFFER_BYTES, TargetCaller
from clementinedeal._timers import MonotonicClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._contracts import CallContext
from clementinedeal.mesh._target_client import (
    MAX_ANSWER_BYTES,
    BufferedRequest,
    TargetClient,
)
from clementinedeal.platform import PlatformDialect

HEADERS = ((b'host', b'x'), (b'attempt-id', b'r1'))
CALL_CONTEXT = CallContext(
    req_id='r1', seconds_left=5.0, target='t1', account='', caller_service=''
)
# One read may bring hundreds of events, of about 6 us of CPU time each.
TINY_CHUNKS = b'1\r\nx\r\n' * 10_000 + b'0\r\n\r\n'
MANY_INTERIMS = b'HTTP/1.1 100 \r\n\r\n' * 800
# Another task may have to wait for two turns of the reader in a row.
MAX_EVENTS_PER_TURN = 150
CHUNKED_HEADER = b'transfer-encoding: chunked\r\n\r\n'
GET = RequestHead('GET', '/', ((b'host', b'x'),))


class TurnCounter:
    """Counts the events that a reader handles between turns of another task.

    ``max_events`` is the highest count between two turns.
    """

    def __init__(self):
        self.events = 0
        self.max_events = 0
        self.total = 0

    def count_event(self):
        self.events += 1
        self.total += 1
        self.max_events = max(self.max_events, self.events)

    async def reset_each_turn(self):
        """Reset the count at each turn of the event loop, as the other task."""
        while True:
            self.events = 0
            await trio.lowlevel.checkpoint()


@pytest.fixture
async def turns(nursery):
    counter = TurnCounter()
    nursery.start_soon(counter.reset_each_turn)
    return counter


async def connect_answered(answer):
    """Return a connection whose request is answered with the given bytes."""
    near, far = trio.testing.memory_stream_pair()
    conn = ClientConn(near)
    await conn.send_whole(GET, b'')
    await far.send_all(answer)
    return conn


async def test_tiny_chunks_of_an_answer_do_not_block_other_tasks(turns):
    conn = await connect_answered(
        b'HTTP/1.1 200 OK\r\n' + CHUNKED_HEADER + TINY_CHUNKS
    )
    await conn.read_head()
    async for _ in conn.read_body():
        turns.count_event()
    assert turns.total == 10_000
    assert turns.max_events <= MAX_EVENTS_PER_TURN


async def test_tiny_chunks_of_a_request_do_not_block_other_tasks(turns):
    near, far = trio.testing.memory_stream_pair()
    conn = ServerConn(near, HttpLimits())
    await far.send_all(b'POST / HTTP/1.1\r\nhost: x\r\n' + CHUNKED_HEADER)
    assert await conn.next_request()
    await far.send_all(TINY_CHUNKS)
    async for _ in conn.read_body():
        turns.count_event()
    assert turns.total == 10_000
    assert turns.max_events <= MAX_EVENTS_PER_TURN


async def test_interim_answers_do_not_block_other_tasks(turns):
    conn = await connect_answered(MANY_INTERIMS + b'HTTP/1.1 200 OK\r\n\r\n')
    await conn.read_head(turns.count_event)
    assert turns.total == 800
    assert turns.max_events <= MAX_EVENTS_PER_TURN


async def test_reading_what_was_received_can_be_cancelled():
    conn = await connect_answered(
        b'HTTP/1.1 200 OK\r\n' + CHUNKED_HEADER + TINY_CHUNKS
    )
    await conn.read_head()
    pieces = 0
    with trio.CancelScope() as scope:
        async for _ in conn.read_body():
            pieces += 1
            scope.cancel()
    assert pieces <= MAX_EVENTS_PER_TURN


@pytest.mark.parametrize('body', [b'', b'x' * 100_000])
async def test_an_answer_without_end_is_cut_long_before_its_deadline(
    endless,
    body,
):
    events = EventLog('i', '1')
    clock = MonotonicClock()
    pool = ConnPool(clock)
    client = TargetClient(
        endless.address, pool, PlatformDialect(), clock, events
    )
    outcome = await client.call(
        BufferedRequest('POST', '/', HEADERS, body), CALL_CONTEXT
    )
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason is Reason.ANSWER_INCOMPLETE
    assert await endless.was_cut()


# Those whose end is not awaited: a chunk extension is dropped as it arrives.
PASSED_ON = [*HEADS, 'no-length', 'huge-length', 'chunks', 'tiny-chunks']


@pytest.mark.parametrize('endless', PASSED_ON, indirect=True)
async def test_an_answer_without_end_is_passed_on_without_being_kept(endless):
    caller = TargetCaller(ConnPool(MonotonicClock()))
    read_bytes = 0
    async with caller.call(make_call(endless.address)) as reply:
        if isinstance(reply, TargetAnswer):
            async for piece in reply.body.pieces():
                read_bytes += len(piece)
                if read_bytes > 2 * ANSWER_BUFFER_BYTES:
                    break
        else:
            assert reply.verdict is Verdict.MAY_HAVE_RUN
    assert read_bytes < 4 * ANSWER_BUFFER_BYTES
    assert await endless.was_cut()


async def test_an_operator_endpoint_that_sends_without_end_gives_no_answer(
    endless,
):
    with pytest.raises(NoAnswerError):
        await fetch(endless.address, '/status')
    assert await endless.was_cut()


async def test_a_cut_answer_is_logged_with_its_size(nursery):
    endless = EndlessStandIn(*BODIES['no-length'])
    await endless.start(nursery)
    events = EventLog('i', '1')
    clock = MonotonicClock()
    pool = ConnPool(clock)
    client = TargetClient(
        endless.address, pool, PlatformDialect(), clock, events
    )
    await client.call(BufferedRequest('GET', '/', HEADERS, b''), CALL_CONTEXT)
    lines = [
        dict(line['fields'])
        for line in map(json.loads, events.json_lines().splitlines())
        if line['name'] == 'answer-cut'
    ]
    assert len(lines) == 1
    assert lines[0]['address'] == endless.address
    assert int(lines[0]['bytes']) > int(lines[0]['limit']) > 0


WHOLE_ANSWER = OK_HEAD + b'content-length: 2\r\n\r\nok'


async def send_until_closed(stream):
    with contextlib.suppress(*BROKEN_STREAM_ERRORS):
        while True:
            await stream.send_all(b'x' * 50_000)


async def answer_then_send_at_once(stream):
    await stream.receive_some()
    await stream.send_all(WHOLE_ANSWER + b'x' * 50_000)
    await send_until_closed(stream)


async def answer_then_send_later(stream):
    await stream.receive_some()
    await stream.send_all(WHOLE_ANSWER)
    await trio.sleep(0.05)
    await send_until_closed(stream)


@pytest.mark.parametrize(
    'serve', [answer_then_send_at_once, answer_then_send_later]
)
async def test_bytes_after_an_answer_belong_to_no_request(nursery, serve):
    address = free_address()
    host, port = split_address(address)
    connection_count = 0

    async def serve_counted(stream):
        nonlocal connection_count
        connection_count += 1
        await serve(stream)

    listeners = await trio.open_tcp_listeners(port, host=host)
    nursery.start_soon(trio.serve_listeners, serve_counted, listeners)
    clock = MonotonicClock()
    pool = ConnPool(clock)
    events = EventLog('i', '1')
    client = TargetClient(address, pool, PlatformDialect(), clock, events)
    message = BufferedRequest('GET', '/', HEADERS, b'')
    for number in range(3):
        outcome = await client.call(message, CALL_CONTEXT)
        assert outcome.body == b'ok'
        await trio.sleep(0.1)
        assert connection_count == number + 1


async def test_an_answer_in_small_pieces_is_read_whole():
    near, far = trio.testing.memory_stream_pair()
    conn = ClientConn(near)
    await conn.send_whole(RequestHead('GET', '/', ((b'host', b'x'),)), b'')
    size = 20_000
    await far.send_all(
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        + b'1\r\nx\r\n' * size
        + b'0\r\n\r\n',
    )
    await conn.read_head()
    assert await conn.read_whole(MAX_ANSWER_BYTES) == b'x' * size
