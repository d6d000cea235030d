"""A loopback TCP proxy that can delay, hold back or reset its connections."""

import socket
import struct

import trio

from clementinedeal._pool import split_address

# reset: close all connections with RST, also new ones; silent: hold back all
# bytes; one-way: hold back bytes to the client; slow: delay each chunk
FAULT_MODES = ('reset', 'silent', 'one-way', 'slow')
DELAY_SECONDS = 0.15
_STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


class FaultyLink:
    """Forwards TCP connections to another address, with faults.

    :param address: ``host:port`` to listen at.
    :param destination: ``host:port`` to connect to; applies to connections
        that are opened after a change.
    """

    def __init__(self, address, destination):
        self.address = address
        self.destination = destination
        self.mode = 'ok'
        self._open = set()
        self._restored = trio.Event()

    def set_mode(self, mode):
        """Apply one of ``FAULT_MODES``, or ``ok``, to all connections."""
        self.mode = mode
        if mode == 'ok':
            self._restored.set()
            self._restored = trio.Event()
        if mode == 'reset':
            for stream in tuple(self._open):
                _reset(stream)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Accept and forward connections until cancelled."""
        host, port = split_address(self.address)
        await trio.serve_tcp(
            self._carry, port, host=host, task_status=task_status
        )

    async def _carry(self, client):
        if self.mode == 'reset':
            _reset(client)
            return
        try:
            server = await trio.open_tcp_stream(
                *split_address(self.destination)
            )
        except OSError:
            _reset(client)
            return
        ends = {client, server}
        self._open |= ends
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, server, False)
                nursery.start_soon(self._copy, server, client, True)
        finally:
            self._open -= ends
            for stream in ends:
                stream.socket.close()

    async def _copy(self, source, sink, is_from_server):
        try:
            while True:
                chunk = await source.receive_some(65536)
                while self.mode == 'silent' or (
                    is_from_server and self.mode == 'one-way'
                ):
                    await self._restored.wait()
                if self.mode == 'slow':
                    await trio.sleep(DELAY_SECONDS)
                if not chunk:
                    await sink.send_eof()
                    return
                await sink.send_all(chunk)
        except _STREAM_ERRORS:
            for stream in (source, sink):
                _reset(stream)


def _reset(stream):
    """Close a connection with RST in place of FIN."""
    linger = struct.pack('ii', 1, 0)
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        return  # already closed by the copy in the other direction
    stream.socket.close()
