"""A stand-in that answers each request with bytes that never end."""

import contextlib

import trio
from tests.ports import free_address

from clementinedeal._http import BROKEN_STREAM_ERRORS
from clementinedeal._pool import split_address

# Far more than any limit and the socket buffers together. A reader without a
# limit then waits for more and does not use up the memory of the system.
MAX_SENT_BYTES = 48 << 20
_WRITE_BYTES = 1 << 16

# Start of a head, without the empty line that ends it.
OK_HEAD = b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n'
CHUNKED_HEAD = OK_HEAD + b'transfer-encoding: chunked\r\n\r\n'

# By name of the case: bytes that are sent once, and bytes that are repeated.
HEADS = {
    'one-header-line': (OK_HEAD + b'x: ', b'x' * 100),
    'many-header-lines': (OK_HEAD, b'x: y\r\n'),
    'junk-line': (b'', b'junk' * 25),
    'junk-lines': (b'', b'junk\r\n'),
}
BODIES = {
    'no-length': (OK_HEAD + b'\r\n', b'x' * 100),
    'huge-length': (
        OK_HEAD + b'content-length: 999999999999\r\n\r\n',
        b'x' * 100,
    ),
    'chunks': (CHUNKED_HEAD, b'64\r\n' + b'x' * 100 + b'\r\n'),
    'tiny-chunks': (CHUNKED_HEAD, b'1\r\nx\r\n'),
    'chunk-extensions': (CHUNKED_HEAD, b'1;' + b'x' * 1000 + b'\r\nx\r\n'),
    'one-chunk-line': (CHUNKED_HEAD + b'1;', b'x' * 100),
    'trailers': (CHUNKED_HEAD + b'0\r\n', b'x: y\r\n'),
}
INTERIM_ANSWERS = {
    'interims': (b'', b'HTTP/1.1 100 \r\n\r\n'),
    'large-interims': (
        b'',
        b'HTTP/1.1 102 \r\nx: ' + b'x' * 10_000 + b'\r\n\r\n',
    ),
}


class EndlessStandIn:
    """Sends bytes without end on each connection that has sent a request.

    :param opening: bytes that are sent first.
    :param repeated: bytes that follow again and again, up to
        ``MAX_SENT_BYTES`` on a connection.
    """

    def __init__(self, opening, repeated):
        self.address = free_address()
        self.max_sent_bytes = 0
        self.connection_count = 0
        self.closed = trio.Event()
        self._opening = opening
        self._repeated = repeated * (_WRITE_BYTES // len(repeated))

    async def start(self, nursery):
        host, port = split_address(self.address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def was_cut(self):
        """Return whether the reader closed the connection long before the end.

        :raises trio.TooSlowError: if it is not closed within a second.
        """
        with trio.fail_after(1):
            await self.closed.wait()
        return self.max_sent_bytes < MAX_SENT_BYTES

    async def _serve(self, stream):
        self.connection_count += 1
        sent_bytes = 0
        with contextlib.suppress(*BROKEN_STREAM_ERRORS):
            await stream.receive_some()
            await stream.send_all(self._opening)
            while sent_bytes < MAX_SENT_BYTES:
                await stream.send_all(self._repeated)
                sent_bytes += len(self._repeated)
                self.max_sent_bytes = max(self.max_sent_bytes, sent_bytes)
            while await stream.receive_some():
                pass
        self.closed.set()
