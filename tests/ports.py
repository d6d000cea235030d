"""Loopback addresses for tests, outside the range of outgoing connections."""

import itertools
import os
import socket

FIRST_PORT = 10_000
PORTS = 9_000
# test processes with neighbouring numbers begin far from one another
_offsets = itertools.count(os.getpid() * 997)


def free_address() -> str:
    """Return an address on which nobody listens."""
    while True:
        port = FIRST_PORT + next(_offsets) % PORTS
        try:
            # tests listen on other loopback addresses, too
            socket.create_server(('', port)).close()
        except OSError:
            continue
        return f'127.0.0.1:{port}'
