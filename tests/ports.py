"""Loopback addresses for tests, outside the range of outgoing connections."""

import itertools
import os
import socket
import zlib

FIRST_PORT = 10_000
# The port of a stopped process is free for a while. Other test processes of the
# run must not take it, so that each process has a range of its own.
PORTS_PER_RANGE = 1_100
RANGE_COUNT = 18
_run = zlib.crc32(os.environ.get('PYTEST_XDIST_TESTRUNUID', '').encode())
_worker = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0')[2:])
_first = FIRST_PORT + (_run + _worker) % RANGE_COUNT * PORTS_PER_RANGE
_offsets = itertools.count(os.getpid() * 97)


def free_address() -> str:
    """Return an address on which nothing listens."""
    while True:
        port = _first + next(_offsets) % PORTS_PER_RANGE
        try:
            # tests listen on other loopback addresses as well
            socket.create_server(('', port)).close()
        except OSError:
            continue
        return f'127.0.0.1:{port}'
