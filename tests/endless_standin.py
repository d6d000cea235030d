"""A process that sends without end whatever it is asked."""

import contextlib

import trio
from tests.ports import free_address

from clementinedeal._http import BROKEN_STREAM_ERRORS
from clementinedeal._pool import split_address

# Far more than any bound and what the sockets between hold; a reader without
# a bound then waits, and does not take the machine's memory.
MOST_SENT = 48 << 20
_SENT_AT_ONCE = 1 << 16

OK = b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n'
CHUNKED = OK + b'transfer-encoding: chunked\r\n\r\n'

# what comes first, and what is repeated
HEADS = {
    'one-header-line': (OK + b'x: ', b'x' * 100),
    'many-header-lines': (OK, b'x: y\r\n'),
    'junk-line': (b'', b'junk' * 25),
    'junk-lines': (b'', b'junk\r\n'),
}
BODIES = {
    'no-length': (OK + b'\r\n', b'x' * 100),
    'huge-length': (
        OK + b'content-length: 999999999999\r\n\r\n',
        b'x' * 100,
    ),
    'chunks': (CHUNKED, b'64\r\n' + b'x' * 100 + b'\r\n'),
    'tiny-chunks': (CHUNKED, b'1\r\nx\r\n'),
    'chunk-extensions': (CHUNKED, b'1;' + b'x' * 1000 + b'\r\nx\r\n'),
    'one-chunk-line': (CHUNKED + b'1;', b'x' * 100),
    'trailers': (CHUNKED + b'0\r\n', b'x: y\r\n'),
}
INTERIMS = {
    'interims': (b'', b'HTTP/1.1 100 \r\n\r\n'),
    'large-interims': (
        b'',
        b'HTTP/1.1 102 \r\nx: ' + b'x' * 10_000 + b'\r\n\r\n',
    ),
}


class Endless:
    """Sends its bytes at each connection once it was asked."""

    def __init__(self, opening, repeated):
        self.address = free_address()
        self.most_sent = 0
        self.opened = 0
        self.closed = trio.Event()
        self._opening = opening
        self._repeated = repeated * (_SENT_AT_ONCE // len(repeated))

    async def start(self, nursery):
        host, port = split_address(self.address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def was_cut(self):
        """Whether the connection is closed, and long before the end."""
        with trio.fail_after(1):
            await self.closed.wait()
        return self.most_sent < MOST_SENT

    async def _serve(self, stream):
        self.opened += 1
        sent = 0
        with contextlib.suppress(*BROKEN_STREAM_ERRORS):
            await stream.receive_some()
            await stream.send_all(self._opening)
            while sent < MOST_SENT:
                await stream.send_all(self._repeated)
                sent += len(self._repeated)
                self.most_sent = max(self.most_sent, sent)
            while await stream.receive_some():
                pass
        self.closed.set()
