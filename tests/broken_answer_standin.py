"""A stand-in that answers each request with bytes that are no whole answer."""

import contextlib
import socket
import struct

import trio
from tests.ports import free_address

from clementinedeal._http import BROKEN_STREAM_ERRORS
from clementinedeal._pool import split_address

PAUSE_SECONDS = 0.02


def reset(stream):
    """Close a connection with RST in place of FIN."""
    linger = struct.pack('ii', 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


async def send_and_end(stream, answer, end):
    """Send an answer and end the connection once the peer has read it.

    :param end: ``fin`` closes one direction only, ``reset`` sends RST,
        ``fin-reset`` sends one after the other.
    """
    await stream.send_all(answer)
    await trio.sleep(PAUSE_SECONDS)
    if end != 'reset':
        await stream.send_eof()
    if end == 'fin':
        # the peer may still write, as to any half-closed connection
        await trio.sleep_forever()
    reset(stream)


class BrokenAnswerStandIn:
    """Answers each connection once, without reading more of its request.

    :param answer: the bytes that it sends.
    :param end: how the connection then ends, see ``send_and_end``.
    """

    def __init__(self, answer, end='fin'):
        self.address = free_address()
        self._answer = answer
        self._end = end

    async def start(self, nursery):
        host, port = split_address(self.address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream):
        with contextlib.suppress(*BROKEN_STREAM_ERRORS):
            await stream.receive_some()
            await send_and_end(stream, self._answer, self._end)
