"""Passes declarations on from daemon to daemon.

Few daemons read the platform. The others of an availability zone form a tree:
each asks the daemon above it, which holds the question until it has something
newer. A daemon above that does not answer is left out.
"""

import collections
import functools
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

import msgspec
import trio

from clementinedeal._client_conn import ClientConn
from clementinedeal._errors import DECODE_ERRORS, ProtocolError
from clementinedeal._events import EventLog
from clementinedeal._http import Body, RequestHead
from clementinedeal._pool import ConnPool
from clementinedeal._server_conn import ServerConn
from clementinedeal._timers import Clock
from clementinedeal.mesh import _peer_wire as wire
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._declaration_changes import (
    NO_FINGERPRINT,
    ChangeError,
    apply_change,
    decode_change,
    encode_change,
)
from clementinedeal.mesh._reading_role import ReadingRole
from clementinedeal.mesh._types import Revision, Transfer

# How long a daemon holds a question until it has a newer declaration.
HOLD_SECONDS = 0.8
# A daemon confirms a question within one round trip, then it may be held. After
# this time without a byte the next daemon is asked. Packets may wait for half a
# second at a busy link.
SILENCE_SECONDS = 0.6
# An answer that arrives more slowly than this is given up, too.
MIN_BYTES_PER_SECOND = 30_000
# Part of the time in which a declaration must be in force. After it no further
# daemon is asked, and this one reads the platform.
ASKING_FRACTION = 0.4
# Former declarations from which a change can be told.
KEPT_CATALOGS = 3
# A change takes a few bytes a route; the platform's values have 1 MB at most.
MAX_CHANGE_BYTES = 4 << 20
_OK = 200
_NOTHING_NEWER = 204
_BAD_REQUEST = 400
_ANSWER_ERRORS = (ProtocolError, ChangeError, *DECODE_ERRORS)


class _Question(msgspec.Struct, frozen=True, array_like=True):
    """The declaration that the asking daemon has; zeros if it has none."""

    version: int
    fingerprint: int


class _Proof(msgspec.Struct, frozen=True, array_like=True):
    """What the answering daemon knows of the declaration that it sends.

    ``age`` is how many seconds ago it was proved to be the newest, None if it
    was not. The platform showed it at the revision ``era`` and ``number``.
    """

    age: float | None
    era: int
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedDeclaration:
    """A declaration that another daemon has in force.

    ``confirmed_at`` is when it certainly was the newest one, monotonic
    seconds. ``revision`` is that at which the platform showed it.
    """

    catalog: Catalog
    revision: Revision
    confirmed_at: float
    transfer: Transfer


class HeldDeclaration(Protocol):
    """The declaration that this daemon has in force."""

    on_change: list[Callable[[Catalog], None]]

    @property
    def catalog(self) -> Catalog | None:
        """The indexed declaration, None until one was received."""
        ...

    @property
    def revision(self) -> Revision:
        """The platform's revision at which it was shown."""
        ...

    @property
    def age(self) -> float:
        """Seconds since it was last proved to be the newest one."""
        ...


class DeclarationServer:
    """Answers daemons that ask for a newer declaration than theirs."""

    def __init__(self, held: HeldDeclaration) -> None:
        """Create a server.

        :param held: the declaration to pass on.
        """
        self._held = held
        self._catalogs: collections.deque[Catalog] = collections.deque(
            maxlen=KEPT_CATALOGS
        )
        self._encode_change = functools.lru_cache(KEPT_CATALOGS)(
            self._build_change
        )
        self._changed = trio.Event()
        held.on_change.append(self._on_change)

    async def serve(self, conn: ServerConn, head: RequestHead) -> None:
        """Answer one question, at once or when there is something newer.

        :param conn: the connection of the asking daemon.
        :param head: the head of its request.
        :raises ConnLostError: the connection was lost.
        """
        await conn.discard_body()
        try:
            question = msgspec.json.decode(
                head.header(wire.DECLARATION_HEADER) or b'', type=_Question
            )
        except DECODE_ERRORS:
            conn.close_after_answer()
            await conn.respond(_BAD_REQUEST, ())
            return
        await conn.send_interim()
        with trio.move_on_after(HOLD_SECONDS):
            while not self._is_newer_than(question.version):
                await self._changed.wait()
        await self._respond(conn, question)

    async def _respond(self, conn: ServerConn, question: _Question) -> None:
        if not self._is_newer_than(question.version):
            await conn.respond(_NOTHING_NEWER, ())
            return
        blob = self._encode_change(question.fingerprint)
        age = self._held.age
        revision = self._held.revision
        proof = _Proof(
            age if age < float('inf') else None, revision.era, revision.number
        )
        header = (wire.DECLARATION_HEADER, msgspec.json.encode(proof))
        await conn.respond(_OK, (header,), blob)

    def _is_newer_than(self, version: int) -> bool:
        catalog = self._held.catalog
        return catalog is not None and catalog.declaration.version > version

    def _build_change(self, base_fingerprint: int) -> bytes:
        newest = self._catalogs[-1]
        for base in self._catalogs:
            if base.fingerprint == base_fingerprint:
                return encode_change(
                    newest.declaration,
                    newest.fingerprint,
                    base.declaration,
                    base.fingerprint,
                )
        return encode_change(newest.declaration, newest.fingerprint)

    def _on_change(self, catalog: Catalog) -> None:
        self._catalogs.append(catalog)
        self._encode_change.cache_clear()
        self._changed.set()
        self._changed = trio.Event()


class DeclarationClient:
    """Asks other daemons for a newer declaration than the own one."""

    def __init__(
        self,
        pool: ConnPool,
        peer_port: int,
        role: ReadingRole,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Create a client.

        :param pool: connections.
        :param peer_port: the port at which all daemons serve each other.
        :param role: says whom to ask.
        :param clock: monotonic time.
        :param events: log of daemons that gave no newer declaration.
        """
        self._pool = pool
        self._peer_port = peer_port
        self._role = role
        self._clock = clock
        self._events = events

    async def fetch(
        self, catalog: Catalog | None, teller: str
    ) -> RelayedDeclaration | None:
        """Return a newer declaration that another daemon has, if any.

        :param catalog: the own declaration, if any.
        :param teller: IP address of the daemon that is known to have one.
        """
        seconds = ASKING_FRACTION * self._role.declaration_limit
        asked_until = self._clock.now() + seconds
        for host in self._hosts_to_ask(teller):
            if self._clock.now() >= asked_until:
                break
            try:
                relayed = await self._ask(host, catalog)
            except _ANSWER_ERRORS as exc:
                self._report_failure(host, str(exc) or type(exc).__name__)
                continue
            if relayed is not None:
                return relayed
        return None

    def _hosts_to_ask(self, teller: str) -> Iterator[str]:
        hosts = (*self._role.relays, teller, *self._role.readers)
        for host in dict.fromkeys(hosts):
            if host and host != self._role.host:
                yield host

    async def _ask(
        self, host: str, catalog: Catalog | None
    ) -> RelayedDeclaration | None:
        """Ask one daemon.

        :param host: its IP address.
        :param catalog: the own declaration, if any.
        :raises ProtocolError: the connection was lost, or the answer is
            malformed.
        :raises ChangeError: what it sent does not lead to its declaration.
        """
        address = f'{host}:{self._peer_port}'
        asked_at = self._clock.now()
        conn = await self._pool.acquire(address)
        exchange = _Exchange(conn)
        answer = await exchange.run(
            _Question(
                catalog.declaration.version if catalog else 0,
                catalog.fingerprint if catalog else NO_FINGERPRINT,
            )
        )
        if not exchange.is_complete:
            self._report_failure(host, 'silent')
            return None
        await self._pool.release(address, conn)
        if answer is None:
            return None
        proof, blob = answer
        age = float('inf') if proof.age is None else proof.age
        started_at = trio.current_time()
        newer = _apply(blob, catalog)
        return RelayedDeclaration(
            catalog=newer,
            revision=Revision(proof.era, proof.number),
            confirmed_at=asked_at - age,
            transfer=Transfer(
                source=host,
                size=len(blob),
                receive_seconds=exchange.receive_seconds,
                decode_seconds=trio.current_time() - started_at,
            ),
        )

    def _report_failure(self, host: str, reason: str) -> None:
        self._events.emit('config-relay-failed', peer=host, reason=reason)


def _apply(blob: Body, catalog: Catalog | None) -> Catalog:
    """Return the catalog that an encoded change leads to.

    :raises ChangeError: it cannot be read, or leads elsewhere than it says.
    """
    change = decode_change(bytes(blob))
    declaration = apply_change(
        change,
        catalog.declaration if catalog else None,
        catalog.fingerprint if catalog else NO_FINGERPRINT,
    )
    return Catalog(declaration, change.fingerprint)


class _Exchange:
    """One question and its answer, given up when nothing arrives any more."""

    def __init__(self, conn: ClientConn) -> None:
        self._conn = conn
        self._start_bytes = conn.received_bytes
        self._answered_at = 0.0
        self._scope = trio.CancelScope()
        self.is_complete = False
        self.receive_seconds = 0.0

    async def run(self, question: _Question) -> tuple[_Proof, Body] | None:
        """Return what the daemon sent, None if it has nothing newer."""
        head = RequestHead(
            'GET',
            '/',
            (
                (b'host', b'-'),
                (wire.DECLARATION_HEADER, msgspec.json.encode(question)),
            ),
        )
        self._scope.deadline = trio.current_time() + SILENCE_SECONDS
        answer = None
        try:
            with self._scope:
                await self._conn.send_whole(head, b'')
                answer = await self._receive()
                self.is_complete = True
        finally:
            if not self.is_complete:
                self._conn.abort()
        return answer

    async def _receive(self) -> tuple[_Proof, Body] | None:
        head = await self._conn.read_head(self._on_confirmed)
        self._answered_at = trio.current_time()
        self._on_received()
        body = await self._conn.read_whole(MAX_CHANGE_BYTES, self._on_received)
        self.receive_seconds = trio.current_time() - self._answered_at
        if head.status == _NOTHING_NEWER:
            return None
        if head.status != _OK:
            raise ProtocolError(f'answered with status {head.status}')
        encoded = head.header(wire.DECLARATION_HEADER) or b''
        return msgspec.json.decode(encoded, type=_Proof), body

    def _on_confirmed(self) -> None:
        self._scope.deadline = (
            trio.current_time() + HOLD_SECONDS + SILENCE_SECONDS
        )

    def _on_received(self) -> None:
        received_bytes = self._conn.received_bytes - self._start_bytes
        self._scope.deadline = SILENCE_SECONDS + min(
            trio.current_time(),
            self._answered_at + received_bytes / MIN_BYTES_PER_SECOND,
        )
