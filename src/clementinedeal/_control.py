"""Batched, authenticated control messages between daemons over pynng."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec
import pynng
import trio

from clementinedeal._envelope import Keyring
from clementinedeal._errors import DECODE_ERRORS, ProtocolError
from clementinedeal._events import EventLog, log
from clementinedeal._messages import Send, decode, encode

# Messages to one peer are encoded, sealed and sent in batches up to this size.
MAX_MESSAGES_PER_BATCH = 64
_REJECTED_BATCH_ERRORS = (ProtocolError, *DECODE_ERRORS)
MAX_OPEN_PEERS = 96  # the connections to other peers are closed
SEND_BUFFER_BATCHES = 64  # per peer; further batches are dropped
MAX_BATCH_BYTES = 2_000_000  # largest sealed batch that is received
# Time for the sockets to send buffered batches before they are closed.
LINGER_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Batch:
    """Messages that are sent to an instance together, before they are sealed.

    ``sender`` is the sending instance and ``incarnation`` its run, ``hlc`` is
    the sender's stamp of its hybrid logical clock, and ``bodies`` holds the
    messages as encoded by ``encode``.
    """

    sender: str
    incarnation: str
    hlc: int
    bodies: bytes


class Receiver(Protocol):
    """Handles the messages that arrive from other instances."""

    def __call__(self, sender: str, body: Any) -> None:
        """Handle one message.

        :param sender: instance that sent it; authenticated.
        :param body: a registered message.
        """
        ...


class Outbox(Protocol):
    """Sends control messages to other instances; they may be lost."""

    def send(self, action: Send) -> None:
        """Queue one message.

        :param action: the message and its receiver.
        """
        ...


@dataclass(slots=True)
class ControlCounters:
    """Traffic of one daemon's control channel since its start.

    Bytes are those of sealed batches. ``rejected`` counts received batches
    that can't be opened or decoded, and single messages whose handler failed.
    ``dropped`` counts the messages that were not sent. The metric
    ``control_messages`` is the number of batches sent and received.
    """

    batches_sent: int = 0
    batches_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    rejected: int = 0
    dropped: int = 0


@dataclass(slots=True)
class _Peer:
    """Open connection to a peer and the messages queued for it."""

    address: str
    socket: pynng.Push0
    queue: list[Any] = field(default_factory=list)


class ControlChannel:
    """Sends and receives control messages.

    It has one listening socket, and one dialled socket for each of the latest
    ``MAX_OPEN_PEERS`` peers to which messages were sent. Messages to a peer
    are sent in batches. Delivery is not guaranteed.
    """

    def __init__(
        self,
        address: str,
        keyring: Keyring,
        events: EventLog,
        find_address: Callable[[str], str | None],
        receiver: Receiver,
    ) -> None:
        """Create a channel that is not yet listening.

        :param address: ``ip:port`` to listen on.
        :param keyring: seals batches that are sent, opens those received.
        :param events: provides this instance's name, run and clock.
        :param find_address: control address of an instance, None if unknown.
        :param receiver: is called for each message received.
        """
        self.counters = ControlCounters()
        self._address = address
        self._keyring = keyring
        self._events = events
        self._find_address = find_address
        self._receiver = receiver
        self._peers: dict[str, _Peer] = {}
        self._has_queued = trio.Event()
        self._listener: pynng.Pull0 | None = None
        self._is_stopped = False

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen, and start the tasks that send and receive.

        :param nursery: runs the tasks.
        """
        self._listener = pynng.Pull0(
            listen=f'tcp://{self._address}',
            recv_max_size=MAX_BATCH_BYTES,
        )
        nursery.start_soon(self._run_sender)
        nursery.start_soon(self._run_receiver, self._listener)

    async def stop(self) -> None:
        """Send what is queued, then close every socket."""
        self._flush()
        self._is_stopped = True
        await trio.sleep(LINGER_SECONDS)
        for peer in self._peers.values():
            peer.socket.close()
        if self._listener is not None:
            self._listener.close()

    def send(self, action: Send) -> None:
        """Queue one message for the next batch to its receiver.

        It is dropped if the receiver is unknown or the channel is stopped.

        :param action: the message and its receiver.
        """
        peer = None if self._is_stopped else self._find_or_dial(action.to)
        if peer is None:
            self.counters.dropped += 1
            return
        peer.queue.append(action.body)
        self._has_queued.set()

    async def _run_sender(self) -> None:
        while True:
            await self._has_queued.wait()
            self._has_queued = trio.Event()
            self._flush()

    async def _run_receiver(self, listener: pynng.Pull0) -> None:
        with contextlib.suppress(pynng.Closed):
            while True:
                sealed = await listener.arecv()
                self._receive(sealed)

    def _receive(self, sealed: bytes) -> None:
        self.counters.batches_received += 1
        self.counters.bytes_received += len(sealed)
        try:
            batch = self._open_batch(sealed)
            bodies = decode(batch.bodies)
        except _REJECTED_BATCH_ERRORS:
            self.counters.rejected += 1
            return
        self._events.clock.observe(batch.hlc)
        for body in bodies:
            self._deliver(batch.sender, body)

    def _deliver(self, sender: str, body: Any) -> None:
        """Pass a message to the receiver; log an exception that it raises."""
        try:
            self._receiver(sender, body)
        except Exception:
            self.counters.rejected += 1
            kind = type(body).__name__
            log.exception(
                'event=message-failed sender=%s kind=%s', sender, kind
            )

    def _open_batch(self, sealed: bytes) -> Batch:
        blob = self._keyring.open(sealed, self._events.instance.encode())
        return msgspec.msgpack.decode(blob, type=Batch)

    def _find_or_dial(self, name: str) -> _Peer | None:
        """Return the connection to an instance, None for an unknown one.

        The instance is dialled if there is no connection or its address
        changed. ``_peers`` is kept in order of use.
        """
        address = self._find_address(name)
        if address is None:
            return None
        peer = self._peers.pop(name, None)
        if peer is not None and peer.address != address:
            peer.socket.close()
            peer = None
        peer = peer or self._dial(address)
        self._peers[name] = peer
        if len(self._peers) > MAX_OPEN_PEERS:
            self._close_oldest()
        return peer

    def _dial(self, address: str) -> _Peer:
        socket = pynng.Push0(send_buffer_size=SEND_BUFFER_BATCHES)
        socket.dial(f'tcp://{address}', block=False)
        return _Peer(address, socket)

    def _close_oldest(self) -> None:
        """Close the least recently used connection."""
        name = next(iter(self._peers))
        self._peers.pop(name).socket.close()

    def _flush(self) -> None:
        for name, peer in self._peers.items():
            while peer.queue:
                bodies = tuple(peer.queue[:MAX_MESSAGES_PER_BATCH])
                del peer.queue[:MAX_MESSAGES_PER_BATCH]
                self._send_batch(name, peer, bodies)

    def _send_batch(
        self,
        name: str,
        peer: _Peer,
        bodies: tuple[Any, ...],
    ) -> None:
        batch = Batch(
            sender=self._events.instance,
            incarnation=self._events.incarnation,
            hlc=self._events.clock.stamp(),
            bodies=encode(bodies),
        )
        sealed = self._keyring.seal(
            msgspec.msgpack.encode(batch),
            name.encode(),
        )
        try:
            peer.socket.send(sealed, block=False)
        except pynng.NNGException:
            self.counters.dropped += len(bodies)
            return
        self.counters.batches_sent += 1
        self.counters.bytes_sent += len(sealed)
