"""Loopback addresses for tests, outside the range of outgoing connections."""

import itertools
import os
import socket

FIRST_PORT = 10_000
PORTS = 9_000
_offsets = itertools.count(os.getpid() * 37)


def free_address() -> str:
    """Return an address on which nobody listens."""
    while True:
        port = FIRST_PORT + next(_offsets) % PORTS
        try:
            socket.create_server(('127.0.0.1', port)).close()
        except OSError:
            continue
        return f'127.0.0.1:{port}'
