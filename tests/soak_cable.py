"""A loopback proxy whose connections can be delayed, cut or silenced."""

import socket
import struct

import trio

from clementinedeal._pool import split_address

MODES = ('reset', 'silent', 'one-way', 'slow')
SLOW_SECONDS = 0.15
_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


class Cable:
    """Carries bytes between one address and another, in a mode."""

    def __init__(self, address, far):
        self.address = address
        self.far = far
        self.mode = 'ok'
        self._open = set()
        self._mended = trio.Event()

    def set_mode(self, mode):
        self.mode = mode
        if mode == 'ok':
            self._mended.set()
            self._mended = trio.Event()
        if mode == 'reset':
            for stream in tuple(self._open):
                _reset(stream)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        host, port = split_address(self.address)
        await trio.serve_tcp(
            self._carry, port, host=host, task_status=task_status
        )

    async def _carry(self, near):
        if self.mode == 'reset':
            _reset(near)
            return
        try:
            far = await trio.open_tcp_stream(*split_address(self.far))
        except OSError:
            _reset(near)
            return
        ends = {near, far}
        self._open |= ends
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, near, far, False)
                nursery.start_soon(self._copy, far, near, True)
        finally:
            self._open -= ends
            for stream in ends:
                stream.socket.close()

    async def _copy(self, source, sink, back):
        try:
            while True:
                blob = await source.receive_some(65536)
                while self.mode == 'silent' or (
                    back and self.mode == 'one-way'
                ):
                    await self._mended.wait()
                if self.mode == 'slow':
                    await trio.sleep(SLOW_SECONDS)
                if not blob:
                    await sink.send_eof()
                    return
                await sink.send_all(blob)
        except _ERRORS:
            for stream in (source, sink):
                _reset(stream)


def _reset(stream):
    linger = struct.pack('ii', 1, 0)
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        return  # closed by the other direction
    stream.socket.close()
