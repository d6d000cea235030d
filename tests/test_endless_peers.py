"""Daemons, the platform and the store that send without end."""

import contextlib
import json

import msgspec
import pytest
import trio
import trio.testing
from tests.endless_standin import BODIES, HEADS, EndlessStandIn
from tests.mesh_fleet import untimed_attempt
from tests.ports import free_address

from clementinedeal._events import EventLog
from clementinedeal._http import HttpError, HttpLimits
from clementinedeal._http_server import HttpServer
from clementinedeal._platform import HttpPlatform, PlatformError
from clementinedeal._pool import ConnPool, split_address
from clementinedeal._server_conn import ServerConn
from clementinedeal._timers import MonotonicClock
from clementinedeal._verdict import Verdict
from clementinedeal.mesh import _peer_client
from clementinedeal.mesh._contracts import SourceError
from clementinedeal.mesh._outcomes import MeshAttempt
from clementinedeal.mesh._peer_client import MeshPeerClient
from clementinedeal.mesh._peer_server import MeshPeerServer
from clementinedeal.mesh._target_client import BufferedRequest
from clementinedeal.platform import PlatformStore

HEADERS = ((b'host', b'x'), (b'attempt-id', b'r1'))
TINY_CHUNKS = b'1\r\nx\r\n' * 10_000 + b'0\r\n\r\n'
CHUNKED_HEADER = b'transfer-encoding: chunked\r\n\r\n'
ATTEMPT = MeshAttempt(
    attempt='a1',
    req_id='r1',
    target='t1',
    left=5.0,
    objective=1.0,
    idempotent=True,
    account='shop',
    caller='s',
    rank=(0, 0),
)


async def test_a_store_that_sends_without_end_gives_no_answer(endless):
    pool = ConnPool(MonotonicClock())
    store = PlatformStore(endless.address, pool, EventLog('i', '1'))
    with pytest.raises(SourceError):
        await store.read()
    assert await endless.was_cut()


async def test_a_platform_that_sends_without_end_gives_no_answer(endless):
    pool = ConnPool(MonotonicClock())
    platform = HttpPlatform((endless.address,), pool)
    with pytest.raises(PlatformError):
        await platform.instances()
    assert await endless.was_cut()


async def send_attempt(endless, sent_attempt):
    """Send an attempt to an owner whose answer never ends."""
    clock = MonotonicClock()
    client = MeshPeerClient(ConnPool(clock), clock)
    message = BufferedRequest('POST', '/', HEADERS, b'x')
    return await client.send_attempt(
        endless.address, sent_attempt, message, untimed_attempt()
    )


async def test_an_owner_that_sends_without_end_is_cut(
    nursery,
    monkeypatch,
    caplog,
):
    monkeypatch.setattr(_peer_client, 'QUERY_SECONDS', 0.5)
    endless = EndlessStandIn(*BODIES['no-length'])
    await endless.start(nursery)
    outcome = await send_attempt(endless, ATTEMPT)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert await endless.was_cut()
    assert f'event=answer-cut address={endless.address}' in caplog.text


async def test_an_endless_request_of_a_peer_is_refused(nursery):
    address = free_address()
    events = EventLog('i', '1')
    peers = MeshPeerServer(None, events, nursery)
    limits = HttpLimits(max_body_bytes=1 << 20)
    server = HttpServer(address, peers.serve, limits, events)
    await server.start(nursery)
    host, port = split_address(address)
    stream = await trio.open_tcp_stream(host, port)
    await stream.send_all(b'POST / HTTP/1.1\r\nhost: x\r\n' + CHUNKED_HEADER)

    async def send():
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(TINY_CHUNKS[:60_000])

    nursery.start_soon(send)
    with trio.fail_after(5):
        answer = await stream.receive_some()
        while await stream.receive_some():
            pass
    assert answer.startswith(b'HTTP/1.1 413 ')


async def test_a_discarded_body_is_limited_in_size():
    near, far = trio.testing.memory_stream_pair()
    conn = ServerConn(near, HttpLimits(max_body_bytes=1 << 19))
    await far.send_all(b'POST / HTTP/1.1\r\nhost: x\r\n' + CHUNKED_HEADER)
    assert await conn.next_request()
    await far.send_all(TINY_CHUNKS)
    with pytest.raises(HttpError):
        await conn.discard_body()


async def test_an_owner_that_sends_junk_is_not_queried_without_a_pause(
    nursery,
    monkeypatch,
):
    monkeypatch.setattr(_peer_client, 'QUERY_SECONDS', 0.5)
    endless = EndlessStandIn(*HEADS['junk-lines'])
    await endless.start(nursery)
    outcome = await send_attempt(endless, ATTEMPT)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert endless.connection_count <= 7


async def test_a_reservation_answered_without_end_has_not_run(endless):
    reservation = msgspec.structs.replace(ATTEMPT, idempotent=False)
    outcome = await send_attempt(endless, reservation)
    assert outcome.verdict is Verdict.NOT_RUN
    assert endless.connection_count == 1
    assert await endless.was_cut()


@pytest.mark.parametrize('key', ['servers/t0', 'servers/t{:05}'])
async def test_an_endless_list_of_the_store_is_given_up(nursery, key):
    pages = 0

    async def serve(conn, head):
        nonlocal pages
        pages += 1
        await conn.discard_body()
        item = {'key': key.format(pages), 'value': ''}
        page = {'items': [item], 'has_more': True, 'at_rev': 1}
        await conn.respond(200, (), json.dumps(page).encode())

    address = free_address()
    events = EventLog('i', '1')
    await HttpServer(address, serve, HttpLimits(), events).start(nursery)
    store = PlatformStore(address, ConnPool(MonotonicClock()), events)
    with trio.fail_after(5), pytest.raises(SourceError):
        await store.list_targets(may_lag=True)
