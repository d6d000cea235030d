"""Clients that send large or endless bodies and keep their connections open.

The tests start daemon processes and check that they live, that their memory
and descriptors stay within the limits of the settings, and that an ordinary
request is answered while the hostile connections are still open.
"""

import contextlib

import pytest
import trio
from tests.low_limits_fleet import (
    BODY_BYTES,
    MAX_FDS,
    MEMORY_MB,
    SECONDS,
    Monitor,
    send_ordinary_request,
)

from clementinedeal._http import BROKEN_STREAM_ERRORS
from clementinedeal._pool import split_address

pytestmark = pytest.mark.alone

# Bodies of the size BODY_BYTES; two of them fit into the memory.
LARGE_COUNT = 12
TINY_COUNT = 60
TINY_CHUNKS = 40_000
OPEN_COUNT = 400
PIECE_BYTES = 16 << 10


def head(*lines):
    fields = (
        'POST /open/a HTTP/1.1',
        'host: h.example',
        'deadline-ms: 9000',
        *lines,
    )
    return '\r\n'.join(fields).encode() + b'\r\n\r\n'


def sized(size):
    return head(f'content-length: {size}')


def pieces_of(blob):
    for start in range(0, len(blob), PIECE_BYTES):
        yield blob[start : start + PIECE_BYTES]


CHUNKED = head('transfer-encoding: chunked')
END = b'0\r\n\r\n'
LARGE = bytes(BODY_BYTES)
HUGE_CHUNK = b'%x\r\n' % BODY_BYTES + LARGE + b'\r\n'
TINY_CHUNK_BODY = b'1\r\nx\r\n' * TINY_CHUNKS


def whole(stalls):
    yield sized(BODY_BYTES) + (LARGE[:-1] if stalls else LARGE)


def pieces(stalls):
    yield sized(BODY_BYTES)
    yield from pieces_of(LARGE[:-1] if stalls else LARGE)


def huge_chunks(stalls):
    yield CHUNKED + HUGE_CHUNK
    yield b'' if stalls else END


def tiny_chunks(stalls):
    yield CHUNKED
    yield from pieces_of(TINY_CHUNK_BODY)
    yield b'' if stalls else END


def announced(_):
    yield sized(10 * BODY_BYTES)
    for _ in range(10):
        yield LARGE


def endless(_):
    yield CHUNKED
    for _ in range(10):
        yield HUGE_CHUNK


def small(_):
    yield sized(100) + bytes(99)


CROWDS = {
    'whole': (whole, LARGE_COUNT),
    'pieces': (pieces, LARGE_COUNT),
    'huge-chunks': (huge_chunks, LARGE_COUNT),
    'tiny-chunks': (tiny_chunks, TINY_COUNT),
    'announced': (announced, LARGE_COUNT),
    'endless': (endless, LARGE_COUNT),
    'open': (small, OPEN_COUNT),
}


class Crowd:
    """Connections that stay open after all was sent, or refused.

    ``all_sent`` is set once each has sent all, or was closed.
    """

    def __init__(self, address, make_blobs, count):
        self._address = split_address(address)
        self._make_blobs = make_blobs
        self._count = count
        self._unsent = count
        self.all_sent = trio.Event()

    async def connect(self, nursery):
        """Return once all are connected and send."""
        for number in range(self._count):
            await nursery.start(self._send_one, number % 4 != 0)

    async def _send_one(self, stalls, task_status):
        stream = await trio.open_tcp_stream(*self._address)
        task_status.started()
        async with stream:
            with contextlib.suppress(*BROKEN_STREAM_ERRORS):
                for blob in self._make_blobs(stalls):
                    await stream.send_all(blob)
            self._unsent -= 1
            if not self._unsent:
                self.all_sent.set()
            await trio.sleep_forever()


@pytest.mark.parametrize('kind', CROWDS)
async def test_hostile_clients_end_no_process(kind, low_fleet, nursery):
    """The process lives within its limits and answers an ordinary request."""
    fleet = low_fleet
    processes = [instance.process for instance in fleet.instances]
    monitor = Monitor(processes)
    nursery.start_soon(monitor.run)
    entry = fleet.instances[0]
    crowd = Crowd(entry.caller_address, *CROWDS[kind])
    with trio.fail_after(SECONDS):
        await crowd.connect(nursery)
        statuses = [await send_ordinary_request(entry)]
        await crowd.all_sent.wait()
        statuses.append(await send_ordinary_request(entry))
    monitor.measure()
    print(kind, monitor.max_bytes, monitor.max_fds, statuses)
    assert [process.poll() for process in processes] == [None, None]
    assert monitor.max_bytes < MEMORY_MB * 1_000_000
    assert monitor.max_fds <= MAX_FDS
    assert statuses == [200, 200]


@pytest.mark.parametrize('path', ['/look/1', '/book/1'])
@pytest.mark.parametrize('owner_number', [0, 1])
async def test_a_request_at_the_limit_is_served(path, owner_number, low_fleet):
    """One after the other, by the own target and through another daemon."""
    fleet = low_fleet
    for instance in fleet.instances:
        instance.target.echoed_bytes = 1
    fleet.store.delete(
        f'servers/{fleet.instances[1 - owner_number].target.name}'
    )
    await trio.sleep(2)  # the time in which a target that left is known
    monitor = Monitor([instance.process for instance in fleet.instances])
    with trio.fail_after(SECONDS):
        statuses = [
            await send_ordinary_request(fleet.instances[0], path, LARGE)
            for _ in range(4)
        ]
    monitor.measure()
    print(path, owner_number, monitor.max_bytes, statuses)
    assert statuses == [200] * 4
    assert monitor.max_bytes < MEMORY_MB * 1_000_000
