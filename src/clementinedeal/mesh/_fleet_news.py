"""Exchanges what daemons know of the platform, so that few must read it.

A daemon asks a reader and counts the ages of the reply from the time of its
question. That is sound whichever of the two is suspended meanwhile, and
however late the reply is.
"""

import collections
import itertools
from dataclasses import dataclass

import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._declarations import DeclarationFeed
from clementinedeal.mesh._evacuations import EvacuationTracker
from clementinedeal.mesh._news_messages import NewsHint, NewsReply, NewsRequest
from clementinedeal.mesh._rate_limiter import MAX_SENDS, Datagrams
from clementinedeal.mesh._reading_role import ReadingRole
from clementinedeal.mesh._registry_watch import RegistryWatch
from clementinedeal.mesh._target_feed import TargetFeed

# A reader takes tens of milliseconds to bring a large declaration into force.
REPLY_TIMEOUT_SECONDS = 0.1
# A reader that did not reply is not asked again for this long.
SILENT_READER_SECONDS = 2.0
# A spare reader begins to read when it is first asked.
OUTDATED_READER_SECONDS = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetNewsParts:
    """The collaborators of ``FleetNews``.

    ``address`` is the ``ip:port`` of the own target, ``role`` says whom to ask.
    ``declarations``, ``evacuations`` and ``targets`` get the news. They and
    ``registry_watch`` answer for this daemon.
    """

    address: str
    role: ReadingRole
    declarations: DeclarationFeed
    evacuations: EvacuationTracker
    targets: TargetFeed
    registry_watch: RegistryWatch
    datagrams: Datagrams
    clock: Clock
    events: EventLog


class FleetNews:
    """Asks readers for news, answers other daemons, and sends them hints."""

    def __init__(self, parts: FleetNewsParts) -> None:
        """Create a part that has asked nobody yet.

        :param parts: the collaborators.
        """
        self._parts = parts
        self._numbers = itertools.count(1)
        self._asked_number = 0
        self._reply: NewsReply | None = None
        self._reply_event = trio.Event()
        self._hint = trio.Event()
        self._silent_until: dict[str, float] = collections.defaultdict(float)
        self._hosts_to_hint: set[str] = set()
        self._hints_due = trio.Event()
        parts.registry_watch.on_change.append(self._hint_hosts)
        parts.registry_watch.on_confirmed.append(self._report_own)
        parts.targets.on_own_found.append(lambda: self._hint.set())
        parts.declarations.on_change.append(lambda _: self._hint_all())
        parts.evacuations.on_change.append(lambda _: self._hint_all())

    async def run(self) -> None:
        """Ask a reader at each interval, and at once after a hint."""
        while True:
            with trio.move_on_after(self._parts.role.ask_interval):
                await self._hint.wait()
            self._hint = trio.Event()
            if not (self._parts.role.is_reader and self._knows_enough()):
                await self._ask_readers()

    async def run_hints(self) -> None:
        """Send hints as changes are noticed."""
        while True:
            await self._hints_due.wait()
            self._hints_due = trio.Event()
            hosts = sorted(self._hosts_to_hint)
            self._hosts_to_hint.clear()
            for host in hosts:
                hint = NewsHint(self._parts.declarations.version)
                await self._parts.datagrams.send(host, hint)

    async def on_message(
        self, host: str, body: NewsRequest | NewsReply | NewsHint
    ) -> None:
        """Answer a question, or deliver a reply or hint.

        :param host: IP address of the sender.
        :param body: the message.
        """
        match body:
            case NewsRequest() as request:
                self._parts.role.on_asked(host, request.link_mbps)
                # the asker may have what this daemon has missed
                self._parts.declarations.on_reported(
                    request.version, float('-inf'), host
                )
                reply = self._build_reply(host, request)
                await self._parts.datagrams.send(host, reply)
            case NewsReply(number=number):
                if number == self._asked_number:
                    self._reply = body
                    self._reply_event.set()
            case NewsHint(version=version):
                self._on_hint(host, version)

    def _on_hint(self, host: str, version: int) -> None:
        """Fetch a newer declaration, or else ask for what has changed."""
        declarations = self._parts.declarations
        if version > declarations.version:
            declarations.on_reported(version, float('-inf'), host)
        else:
            self._hint.set()

    def _knows_enough(self) -> bool:
        """Whether the own reads of this reader succeed."""
        return (
            self._parts.declarations.age < self._parts.role.max_declaration_age
            and self._parts.registry_watch.age < self._parts.role.max_target_age
        )

    async def _ask_readers(self) -> None:
        """Ask the readers in turn until one knows enough."""
        for host in self._parts.role.readers:
            now = self._parts.clock.now()
            if now < self._silent_until[host]:
                continue
            known = self._parts.targets.own_state
            reply = await self._ask(host, known)
            if reply is not None and self._apply_reply(host, reply, known, now):
                return
            is_silent = reply is None
            pause = (
                SILENT_READER_SECONDS if is_silent else OUTDATED_READER_SECONDS
            )
            self._silent_until[host] = now + pause
            self._parts.events.emit(
                'reader-passed-over',
                reader=host,
                reason='silent' if is_silent else 'outdated',
            )

    async def _ask(self, host: str, known: str) -> NewsReply | None:
        for _ in range(MAX_SENDS):
            self._asked_number = next(self._numbers)
            self._reply = None
            self._reply_event = trio.Event()
            request = NewsRequest(
                self._asked_number,
                self._parts.address,
                known,
                self._parts.declarations.version,
                self._parts.role.link_mbps,
            )
            await self._parts.datagrams.send(host, request)
            with trio.move_on_after(REPLY_TIMEOUT_SECONDS):
                await self._reply_event.wait()
                return self._reply
        return None

    def _apply_reply(
        self, host: str, reply: NewsReply, known: str, asked_at: float
    ) -> bool:
        """Take over what a reply proves; return whether that is enough.

        :param host: IP address of the reader.
        :param reply: the reply.
        :param known: the state of the own target that was asked about.
        :param asked_at: when it was asked for, monotonic seconds.
        """
        role = self._parts.role
        if reply.is_delegate:
            role.on_delegated()
        if reply.evacuations is not None:
            self._parts.evacuations.on_reported(reply.evacuations)
        self._parts.declarations.on_reported(
            reply.version, asked_at - reply.age, host, reply.revision
        )
        if reply.list_age < role.max_target_age:
            listed_at = asked_at - reply.list_age
            if reply.is_unchanged:
                self._parts.targets.on_own_confirmed(known, listed_at)
            else:
                self._parts.targets.on_own_reported(
                    reply.target, listed_at, reply.era
                )
        return (
            reply.age < role.max_declaration_age
            and reply.list_age < role.max_target_age
        )

    def _build_reply(self, host: str, request: NewsRequest) -> NewsReply:
        watch = self._parts.registry_watch
        target = watch.find_target(request.address)
        is_unchanged = target is not None and target.state == request.known
        return NewsReply(
            number=request.number,
            version=self._parts.declarations.version,
            age=self._parts.declarations.age,
            list_age=watch.age,
            target=None if is_unchanged else target,
            is_unchanged=is_unchanged,
            era=watch.era,
            evacuations=self._parts.evacuations.known,
            is_delegate=self._parts.role.is_delegate(host),
            revision=self._parts.declarations.revision,
        )

    def _report_own(self) -> None:
        """Pass the own target on from this reader's own read."""
        watch = self._parts.registry_watch
        self._parts.targets.on_own_reported(
            watch.find_target(self._parts.address),
            self._parts.clock.now() - watch.age,
            watch.era,
        )

    def _hint_all(self) -> None:
        if self._parts.role.follows_declarations:
            self._hint_hosts(set(self._parts.role.hosts))

    def _hint_hosts(self, hosts: set[str]) -> None:
        self._hosts_to_hint |= hosts & self._parts.role.hosts
        self._hints_due.set()
