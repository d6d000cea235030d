"""Token managers of several daemons under virtual time and a faulty network."""

import heapq
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from clementinedeal._borrowing import TokenActions
from clementinedeal._draws import TokenGranted, TokenRefused
from clementinedeal._freshness import FRESH_SECONDS
from clementinedeal._messages import Send, decode, encode
from clementinedeal._model import Config
from clementinedeal._tokens import TokenManager

STEP_SECONDS = 0.02
START_SECONDS = 100.0
WARM_SECONDS = 30.0
WARM_STEP_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Link:
    """How messages fare: shares lost and repeated, delays in seconds."""

    loss: float = 0
    repeat: float = 0
    latency: float = 0.001
    jitter: float = 0


@dataclass(frozen=True, slots=True)
class Publication:
    """One version and when it was published, in virtual seconds."""

    cfg: Config
    at: float


@dataclass(order=True, slots=True)
class Parcel:
    """A message on its way."""

    due: float
    order: int
    sender: str = field(compare=False)
    send: Send = field(compare=False)


@dataclass(slots=True)
class Node:
    """One daemon: its process, what it has heard and whether it runs."""

    manager: TokenManager
    version: int
    incarnation: int
    runs: bool = True
    paused_until: float = 0

    def acts(self, now: float) -> bool:
        """Tell whether the process runs and is not paused.

        :param now: virtual seconds.
        """
        return self.runs and self.paused_until <= now


@dataclass(frozen=True, slots=True)
class Outcome:
    """The answer to one request."""

    at: float
    req_id: str
    admitted: bool


class TokenFleet:
    """Runs managers, their messages and what they hear of publications."""

    def __init__(self, cfg: Config, seed: int) -> None:
        """Start one daemon for each published instance, long after start.

        :param cfg: first version.
        :param seed: of the network's random choices.
        """
        self.now = 0.0
        self.link = Link()
        self.cuts: set[tuple[str, str]] = set()
        self.versions = [Publication(cfg, -START_SECONDS)]
        self.nodes: dict[str, Node] = {}
        self.history: list[Parcel] = []
        self.outcomes: list[Outcome] = []
        self.bytes_sent = 0
        self._rng = Random(seed)
        self._order = itertools.count()
        self._parcels: list[Parcel] = []
        for name in cfg.instances:
            self.start(name, 0, known_for=START_SECONDS)
        self.run(WARM_SECONDS, step=WARM_STEP_SECONDS)

    def start(self, name: str, behind: int, known_for: float) -> None:
        """Start a daemon, or replace it by a new process.

        :param name: instance.
        :param behind: how many versions its first one lags.
        :param known_for: what it is told of that version's age, in seconds.
        """
        publication = self.versions[max(0, len(self.versions) - 1 - behind)]
        old = self.nodes.get(name)
        incarnation = old.incarnation + 1 if old else 1
        manager = TokenManager(
            name,
            publication.cfg,
            self.now,
            incarnation=incarnation,
            known_for=known_for,
        )
        node = Node(manager, publication.cfg.version, incarnation)
        self.nodes[name] = node
        self._freshen(node)

    def publish(self, cfg: Config) -> None:
        """Publish a version; no daemon hears of it yet."""
        self.versions.append(Publication(cfg, self.now))

    def tell(self, name: str) -> None:
        """Let a daemon hear of the newest version.

        :param name: instance; one that is not running hears nothing.
        """
        node = self.nodes[name]
        if not node.acts(self.now):
            return
        cfg = self.versions[-1].cfg
        self._handle(name, node.manager.on_config(cfg, self.now))
        node.version = cfg.version
        self._freshen(node)

    def take(self, name: str, req_id: str, account: str) -> None:
        """Let a request ask for a token at a daemon.

        :param name: instance.
        :param req_id: request id.
        :param account: client account.
        """
        node = self.nodes[name]
        if node.acts(self.now):
            actions = node.manager.take(req_id, account, self.now)
            self._handle(name, actions)

    def stop(self, name: str) -> None:
        """Stop a daemon as planned.

        :param name: instance.
        """
        node = self.nodes[name]
        if node.acts(self.now):
            self._handle(name, node.manager.stop(self.now))

    def replay(self, parcel: Parcel) -> None:
        """Deliver an old message once more.

        :param parcel: from ``history``.
        """
        self._deliver(parcel)

    def run(self, seconds: float, step: float = STEP_SECONDS) -> None:
        """Let time pass, deliver what is due and tick every daemon.

        :param seconds: how long.
        :param step: time between ticks in seconds.
        """
        ends_at = self.now + seconds
        while self.now < ends_at - step / 2:
            tick_at = self.now + step
            self._deliver_until(tick_at)
            self.now = tick_at
            self._tick()

    def _deliver_until(self, until: float) -> None:
        while self._parcels and self._parcels[0].due <= until:
            parcel = heapq.heappop(self._parcels)
            self.now = max(self.now, parcel.due)
            self._deliver(parcel)

    def _tick(self) -> None:
        for name, node in tuple(self.nodes.items()):
            if node.acts(self.now):
                self._freshen(node)
                self._handle(name, node.manager.on_tick(self.now))

    def _freshen(self, node: Node) -> None:
        newer = (
            publication.at
            for publication in self.versions
            if publication.cfg.version > node.version
        )
        heard_until = min(newer, default=self.now) + FRESH_SECONDS
        node.manager.set_fresh(self.now < heard_until, self.now)

    def _deliver(self, parcel: Parcel) -> None:
        node = self.nodes[parcel.send.to]
        if node.paused_until > self.now:
            parcel.due = node.paused_until
            heapq.heappush(self._parcels, parcel)
        elif node.acts(self.now):
            body = parcel.send.body
            actions = node.manager.on_message(parcel.sender, body, self.now)
            self._handle(parcel.send.to, actions)

    def _handle(self, name: str, actions: TokenActions) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._post(name, action)
            else:
                self._note(action)

    def _note(self, action: TokenGranted | TokenRefused) -> None:
        admitted = isinstance(action, TokenGranted)
        self.outcomes.append(Outcome(self.now, action.req_id, admitted))

    def _post(self, sender: str, send: Send) -> None:
        blob = encode((send.body,))
        self.bytes_sent += len(blob)
        send = Send(send.to, _first(decode(blob)))
        copies = 1 + (self._rng.random() < self.link.repeat)
        for _ in range(copies):
            due = self.now + self.link.latency
            due += self._rng.random() * self.link.jitter
            parcel = Parcel(due, next(self._order), sender, send)
            self.history.append(parcel)
            if not self._is_lost(sender, send.to):
                heapq.heappush(self._parcels, parcel)

    def _is_lost(self, sender: str, to: str) -> bool:
        if (sender, to) in self.cuts:
            return True
        return self._rng.random() < self.link.loss


def _first(bodies: Iterable[Any]) -> Any:
    return next(iter(bodies))
