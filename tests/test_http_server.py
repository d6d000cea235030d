"""HTTP server and client connections over real sockets."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from clementinedeal._events import EventLog
from clementinedeal._http import ConnLostError, HttpLimits, RequestHead
from clementinedeal._http_server import HttpServer
from clementinedeal._pool import ConnPool
from clementinedeal._server_conn import ServerConn
from clementinedeal._timers import MonotonicClock
from clementinedeal.mesh._stop import KILL_MARGIN_SECONDS
from ports import free_address

ADDRESS = free_address()
GET = RequestHead('GET', '/a', ((b'host', b'x'),))


async def echo(conn: ServerConn, head: RequestHead) -> None:
    body = b''.join([piece async for piece in conn.read_body()])
    if head.path == '/cut':
        await conn.start_answer(200, ((b'content-length', b'10'),))
        await conn.send_piece(b'half')
        raise ConnLostError('cut')
    if head.path == '/bug':
        raise ValueError('bug')
    if head.path == '/long':
        await trio.sleep_forever()
    if head.path == '/slow':
        await trio.sleep(0.2)
    await conn.respond(200, ((b'x-path', head.path.encode()),), body)


@asynccontextmanager
async def serving() -> AsyncIterator[HttpServer]:
    limits = HttpLimits(max_head_bytes=2048, head_timeout=0.2, body_timeout=0.2)
    server = HttpServer(ADDRESS, echo, limits, EventLog('a', '1'))
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        yield server
        nursery.cancel_scope.cancel()


async def send_raw(blob: bytes) -> bytes:
    host, port = ADDRESS.split(':')
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        await stream.send_all(blob)
        received = b''
        while piece := await stream.receive_some():
            received += piece
        return received


@pytest.mark.parametrize(
    ('blob', 'status', 'reason'),
    [
        (b'nonsense\r\n\r\n', b'400', b'bad-request'),
        (b'GET /' + b'a' * 4096 + b' HTTP/1.1\r\n', b'431', b'head-too-large'),
        (
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
            b'400',
            b'bad-request',
        ),
        (b'GET / HTTP/1.1\r\nhos', b'408', b'slow-sender'),
        (
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc',
            b'408',
            b'slow-sender',
        ),
        (b'GET / HTTP/1.1\r\n\r\n', b'400', b'bad-request'),
    ],
)
async def test_bad_input_is_refused_with_a_reason(
    blob: bytes,
    status: bytes,
    reason: bytes,
) -> None:
    async with serving():
        answer = await send_raw(blob)
    assert answer.startswith(b'HTTP/1.1 ' + status)
    assert b'x-reason: ' + reason in answer.lower()
    assert b'x-verdict: not-run' in answer.lower()


async def test_a_connection_is_used_again_after_a_whole_answer() -> None:
    async with serving():
        pool = ConnPool(MonotonicClock())
        first = await pool.acquire(ADDRESS)
        await first.send_whole(GET, b'')
        assert (await first.read_head()).status == 200
        assert b''.join([piece async for piece in first.read_body()]) == b''
        await pool.release(ADDRESS, first)
        assert await pool.acquire(ADDRESS) is first


async def test_a_connection_is_dropped_while_an_answer_may_arrive() -> None:
    async with serving():
        pool = ConnPool(MonotonicClock())
        first = await pool.acquire(ADDRESS)
        await first.send_whole(GET, b'')
        await pool.release(ADDRESS, first)
        assert await pool.acquire(ADDRESS) is not first


async def test_a_connection_that_the_server_closed_is_not_used() -> None:
    pool = ConnPool(MonotonicClock())
    async with serving() as server:
        conn = await pool.acquire(ADDRESS)
        await conn.send_whole(GET, b'')
        await conn.read_head()
        assert [piece async for piece in conn.read_body()] == []
        await pool.release(ADDRESS, conn)
        await server.stop(1)
    assert conn.is_stale()


async def test_a_truncated_answer_is_an_error() -> None:
    async with serving():
        conn = await ConnPool(MonotonicClock()).acquire(ADDRESS)
        await conn.send_whole(RequestHead('GET', '/cut', GET.headers), b'')
        await conn.read_head()
        with pytest.raises(ConnLostError):
            assert [piece async for piece in conn.read_body()] == []


async def test_a_stop_lets_the_request_in_flight_end() -> None:
    async with serving() as server, trio.open_nursery() as nursery:
        conn = await ConnPool(MonotonicClock()).acquire(ADDRESS)
        await conn.send_whole(RequestHead('GET', '/slow', GET.headers), b'')
        await trio.sleep(0.05)
        nursery.start_soon(server.stop, 5)
        head = await conn.read_head()
        assert head.status == 200
        assert head.header(b'connection') == b'close'


async def test_draining_ends_a_connection_that_the_client_keeps_open() -> None:
    async with serving() as server:
        server.drain()
        host, port = ADDRESS.split(':')
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(b'GET /a HTTP/1.1\r\nhost: x\r\n\r\n')
        assert await stream.receive_some()
        await trio.sleep(0.05)
        ended = trio.current_time()
    # The mesh daemon ends its connections this long before it is killed.
    assert trio.current_time() - ended < KILL_MARGIN_SECONDS
    await stream.aclose()


async def test_a_fault_in_one_request_ends_only_its_connection() -> None:
    async with serving():
        conn = await ConnPool(MonotonicClock()).acquire(ADDRESS)
        await conn.send_whole(RequestHead('GET', '/bug', GET.headers), b'')
        answer = await conn.read_head()
        assert answer.status == 500
        assert answer.header(b'x-verdict') == b'may-have-run'
        assert answer.header(b'connection') == b'close'
        other = await ConnPool(MonotonicClock()).acquire(ADDRESS)
        await other.send_whole(GET, b'')
        assert (await other.read_head()).status == 200


async def test_a_raised_idle_timeout_holds_for_open_connections() -> None:
    async with serving() as server:
        server.set_limits(HttpLimits(idle_timeout=0.2))
        conn = await ConnPool(MonotonicClock()).acquire(ADDRESS)
        await conn.send_whole(GET, b'')
        assert (await conn.read_head()).status == 200
        assert [piece async for piece in conn.read_body()] == []
        await trio.sleep(0.1)
        server.set_limits(HttpLimits(idle_timeout=5.0))
        await trio.sleep(0.3)
        assert conn.prepare_next()
        assert not conn.is_stale()
        await conn.send_whole(GET, b'')
        assert (await conn.read_head()).status == 200


async def test_a_request_received_while_idle_connections_close_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    wait_first_bytes = ServerConn._wait_first_bytes

    async with serving() as server:

        async def wait_and_close_idle(conn: ServerConn) -> bool:
            has_bytes = await wait_first_bytes(conn)
            server.close_idle()
            return has_bytes

        monkeypatch.setattr(
            ServerConn, '_wait_first_bytes', wait_and_close_idle
        )
        conn = await ConnPool(MonotonicClock()).acquire(ADDRESS)
        await conn.send_whole(GET, b'')
        assert (await conn.read_head()).status == 200


async def test_a_request_cut_by_a_stop_is_answered() -> None:
    async with serving() as server, trio.open_nursery() as nursery:
        conn = await ConnPool(MonotonicClock()).acquire(ADDRESS)
        head = RequestHead('GET', '/long', GET.headers)
        await conn.send_whole(head, b'')
        await trio.sleep(0.05)
        nursery.start_soon(server.stop, 0.1)
        answer = await conn.read_head()
        assert answer.status == 502
        assert answer.header(b'x-verdict') == b'may-have-run'
