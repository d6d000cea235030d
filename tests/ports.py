"""Loopback addresses for tests, outside the range of outgoing connections."""

import itertools
import os
import socket

FIRST_PORT = 10_000
# The port of a stopped process is free for a while. Other test processes must
# not take it, those of other runs neither, so that each has a range of its own.
PORTS_PER_RANGE = 700
RANGE_COUNT = 32


def _reserve_range():
    """Return the first port of a range, and the listener that reserves it."""
    for number in range(RANGE_COUNT):
        first = FIRST_PORT + number * PORTS_PER_RANGE
        try:
            return first, socket.create_server(('', first))
        except OSError:
            continue
    raise OSError(f'{RANGE_COUNT} test processes are running')


_first, _listener = _reserve_range()
_offsets = itertools.count(os.getpid() * 97)


def free_address() -> str:
    """Return an address on which nothing listens."""
    while True:
        port = _first + 1 + next(_offsets) % (PORTS_PER_RANGE - 1)
        try:
            # tests listen on other loopback addresses as well
            socket.create_server(('', port)).close()
        except OSError:
            continue
        return f'127.0.0.1:{port}'
