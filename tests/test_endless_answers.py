"""Bytes from another process that come without end."""

import pytest
import trio
import trio.testing

from clementinedeal._client_conn import ClientConn
from clementinedeal._http import HttpLimits, RequestHead
from clementinedeal._server_conn import ServerConn

# What one read may bring: hundreds of events, each some 6 us of a core.
TINY_CHUNKS = b'1\r\nx\r\n' * 10_000 + b'0\r\n\r\n'
INTERIMS = b'HTTP/1.1 100 \r\n\r\n' * 800
# A task waits while two turns of the reader may come one after the other.
MOST_EVENTS = 150
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
GET = RequestHead('GET', '/', ((b'host', b'x'),))


class Turns:
    """Counts events between two turns of another task."""

    def __init__(self):
        self.events = 0
        self.most = 0
        self.total = 0

    def note(self):
        self.events += 1
        self.total += 1
        self.most = max(self.most, self.events)

    async def take(self):
        while True:
            self.events = 0
            await trio.lowlevel.checkpoint()


@pytest.fixture
async def turns(nursery):
    made = Turns()
    nursery.start_soon(made.take)
    return made


async def answering(blob):
    """Return a connection whose request is answered with these bytes."""
    near, far = trio.testing.memory_stream_pair()
    conn = ClientConn(near)
    await conn.send_whole(GET, b'')
    await far.send_all(blob)
    return conn


async def test_tiny_chunks_of_an_answer_hold_up_no_other_task(turns):
    conn = await answering(b'HTTP/1.1 200 OK\r\n' + CHUNKED + TINY_CHUNKS)
    await conn.read_head()
    async for _ in conn.read_body():
        turns.note()
    assert turns.total == 10_000
    assert turns.most <= MOST_EVENTS


async def test_tiny_chunks_of_a_request_hold_up_no_other_task(turns):
    near, far = trio.testing.memory_stream_pair()
    conn = ServerConn(near, HttpLimits())
    await far.send_all(b'POST / HTTP/1.1\r\nhost: x\r\n' + CHUNKED)
    assert await conn.next_request()
    await far.send_all(TINY_CHUNKS)
    async for _ in conn.read_body():
        turns.note()
    assert turns.total == 10_000
    assert turns.most <= MOST_EVENTS


async def test_interim_answers_hold_up_no_other_task(turns):
    conn = await answering(INTERIMS + b'HTTP/1.1 200 OK\r\n\r\n')
    await conn.read_head(turns.note)
    assert turns.total == 800
    assert turns.most <= MOST_EVENTS


async def test_reading_what_was_received_can_be_cancelled():
    conn = await answering(b'HTTP/1.1 200 OK\r\n' + CHUNKED + TINY_CHUNKS)
    await conn.read_head()
    pieces = 0
    with trio.CancelScope() as scope:
        async for _ in conn.read_body():
            pieces += 1
            scope.cancel()
    assert pieces <= MOST_EVENTS
