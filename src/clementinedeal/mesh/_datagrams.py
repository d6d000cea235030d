"""Messages between daemons over UDP."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec
import trio

from clementinedeal._errors import DECODE_ERRORS
from clementinedeal._events import EventLog, log
from clementinedeal.mesh._condition_messages import (
    ConditionReply,
    ConditionRequest,
)
from clementinedeal.mesh._crash_records import CrashMessage
from clementinedeal.mesh._news_messages import NewsHint, NewsReply, NewsRequest
from clementinedeal.mesh._token_messages import TokenMessage

# Largest datagram that is read; a longer one is cut and fails to decode.
MAX_DATAGRAM_BYTES = 1400
_READ_ERRORS = (OSError, *DECODE_ERRORS)

News: TypeAlias = NewsRequest | NewsReply | NewsHint
Condition: TypeAlias = ConditionRequest | ConditionReply
Body: TypeAlias = TokenMessage | News | Condition | CrashMessage
MessageHandler: TypeAlias = Callable[[str, Body], Awaitable[None]]


class DatagramChannel:
    """Sends and receives datagrams; all daemons use the same port.

    A message is one msgpack document. It may be lost; nothing is sent again.
    """

    def __init__(self, host: str, port: int, events: EventLog) -> None:
        """Create a channel that is not open yet.

        :param host: IP address of this instance.
        :param port: the UDP port of all daemons.
        :param events: log of messages that cannot be read or sent.
        """
        self._host = host
        self._port = port
        self._events = events
        self._socket: trio.socket.SocketType | None = None

    async def send(self, host: str, body: msgspec.Struct) -> None:
        """Send a message; it may be lost.

        :param host: IP address of the other daemon.
        :param body: the message, one of ``Body``.
        """
        if self._socket is None:
            return
        blob = msgspec.msgpack.encode(body)
        try:
            await self._socket.sendto(blob, (host, self._port))
        except OSError as exc:
            self._events.emit('datagram-unsent', host=host, reason=exc)

    async def open(self) -> None:
        """Bind the socket.

        :raises OSError: the address is in use.
        """
        sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await sock.bind((self._host, self._port))
        self._socket = sock

    def close(self) -> None:
        """Close the socket, if it is open."""
        if self._socket is not None:
            self._socket.close()

    async def run(self, on_message: MessageHandler) -> None:
        """Receive messages until cancelled; the socket must be open.

        :param on_message: called with the sender's IP address and the message.
        """
        sock = self._socket
        assert sock is not None
        while True:
            try:
                blob, source = await sock.recvfrom(MAX_DATAGRAM_BYTES)
                body: Body = msgspec.msgpack.decode(blob, type=Body)
            except _READ_ERRORS as exc:
                self._events.emit('datagram-unread', reason=exc)
                continue
            try:
                await on_message(source[0], body)
            except Exception:
                # one message's failure must not cost the next ones
                log.exception('event=datagram-failed host=%s', source[0])
