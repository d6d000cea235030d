"""Token managers of several daemons, in virtual time, over a faulty network."""

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
FIRST_VERSION_AGE_SECONDS = 100.0  # at the start of the daemons
WARM_UP_SECONDS = 30.0
WARM_UP_STEP_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Link:
    """Faults of the network, equal for all pairs of daemons.

    :param loss_fraction: fraction of the messages that are lost.
    :param duplicate_fraction: fraction of the messages that are sent twice.
    :param latency_seconds: least delay of a message.
    :param max_jitter_seconds: upper bound of the random delay added to it.
    """

    loss_fraction: float = 0
    duplicate_fraction: float = 0
    latency_seconds: float = 0.001
    max_jitter_seconds: float = 0


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """A configuration and when it was published, in virtual seconds."""

    cfg: Config
    published_at: float


@dataclass(order=True, slots=True)
class Delivery:
    """A message in transit.

    :param due_at: when it arrives, in virtual seconds.
    :param sequence: order of sending, for messages due at the same time.
    :param sender: instance name.
    :param message: the message and its receiver.
    """

    due_at: float
    sequence: int
    sender: str = field(compare=False)
    message: Send = field(compare=False)


@dataclass(slots=True)
class SimulatedDaemon:
    """One process of a daemon.

    :param manager: its token manager.
    :param version: the version of the configuration that it uses.
    :param incarnation: number of the process, from 1 for each instance.
    :param is_running: False for a process that was killed.
    :param paused_until: end of its pause, in virtual seconds.
    """

    manager: TokenManager
    version: int
    incarnation: int
    is_running: bool = True
    paused_until: float = 0

    def is_active(self, now: float) -> bool:
        """Return whether the process runs and is not paused.

        :param now: virtual seconds.
        """
        return self.is_running and self.paused_until <= now


@dataclass(frozen=True, slots=True)
class TokenOutcome:
    """Result of one request; ``answered_at`` is in virtual seconds."""

    answered_at: float
    req_id: str
    admitted: bool


class TokenFleet:
    """Runs token managers and carries their messages, in virtual time.

    ``now`` is the time in seconds, ``link`` the current faults and
    ``cut_links`` the pairs of sender and receiver whose messages are lost.
    ``versions`` holds the published versions, ``sent_messages`` every copy of
    a message that was sent, including lost ones, and ``outcomes`` the result of
    each request. ``sent_bytes`` counts each message once.
    """

    def __init__(self, cfg: Config, seed: int) -> None:
        """Start a daemon for each instance and run until shares are in use.

        :param cfg: first version.
        :param seed: seed of the network's random choices.
        """
        self.now = 0.0
        self.link = Link()
        self.cut_links: set[tuple[str, str]] = set()
        self.versions = [PublishedVersion(cfg, -FIRST_VERSION_AGE_SECONDS)]
        self.daemons: dict[str, SimulatedDaemon] = {}
        self.sent_messages: list[Delivery] = []
        self.outcomes: list[TokenOutcome] = []
        self.sent_bytes = 0
        self._rng = Random(seed)
        self._sequence = itertools.count()
        self._deliveries: list[Delivery] = []
        for name in cfg.instances:
            self.start(name, 0, known_for=FIRST_VERSION_AGE_SECONDS)
        self.run(WARM_UP_SECONDS, step_seconds=WARM_UP_STEP_SECONDS)

    def start(self, name: str, versions_behind: int, known_for: float) -> None:
        """Start a daemon, or replace it by a new process.

        :param name: instance name.
        :param versions_behind: number of versions by which its first version is
            older than the newest.
        :param known_for: seconds since that version was published, as the
            process knows it.
        """
        version = self.versions[
            max(0, len(self.versions) - 1 - versions_behind)
        ]
        predecessor = self.daemons.get(name)
        incarnation = predecessor.incarnation + 1 if predecessor else 1
        manager = TokenManager(
            name,
            version.cfg,
            self.now,
            incarnation=incarnation,
            config_age_seconds=known_for,
        )
        daemon = SimulatedDaemon(manager, version.cfg.version, incarnation)
        self.daemons[name] = daemon
        self._update_freshness(daemon)

    def publish(self, cfg: Config) -> None:
        """Publish a version; no daemon applies it yet.

        :param cfg: the version.
        """
        self.versions.append(PublishedVersion(cfg, self.now))

    def apply_newest_version(self, name: str) -> None:
        """Let a daemon receive and apply the newest version.

        :param name: instance name; nothing happens if its process is killed
            or paused.
        """
        daemon = self.daemons[name]
        if not daemon.is_active(self.now):
            return
        cfg = self.versions[-1].cfg
        self._perform(name, daemon.manager.on_config(cfg, self.now))
        daemon.version = cfg.version
        self._update_freshness(daemon)

    def take(self, name: str, req_id: str, account: str) -> None:
        """Take a token for a request at a daemon.

        :param name: instance name; nothing happens if its process is killed
            or paused.
        :param req_id: request id.
        :param account: client account.
        """
        daemon = self.daemons[name]
        if daemon.is_active(self.now):
            actions = daemon.manager.take(req_id, account, self.now)
            self._perform(name, actions)

    def stop(self, name: str) -> None:
        """Start the planned stop of a daemon.

        :param name: instance name.
        """
        daemon = self.daemons[name]
        if daemon.is_active(self.now):
            self._perform(name, daemon.manager.stop(self.now))

    def replay(self, delivery: Delivery) -> None:
        """Deliver an earlier message again.

        :param delivery: one of ``sent_messages``.
        """
        self._deliver(delivery)

    def run(self, seconds: float, step_seconds: float = STEP_SECONDS) -> None:
        """Advance the time, deliver due messages and tick every daemon.

        :param seconds: virtual time to advance.
        :param step_seconds: virtual time between ticks.
        """
        ends_at = self.now + seconds
        while self.now < ends_at - step_seconds / 2:
            tick_at = self.now + step_seconds
            self._deliver_until(tick_at)
            self.now = tick_at
            self._tick()

    def _deliver_until(self, until: float) -> None:
        while self._deliveries and self._deliveries[0].due_at <= until:
            delivery = heapq.heappop(self._deliveries)
            self.now = max(self.now, delivery.due_at)
            self._deliver(delivery)

    def _tick(self) -> None:
        for name, daemon in tuple(self.daemons.items()):
            if daemon.is_active(self.now):
                self._update_freshness(daemon)
                self._perform(name, daemon.manager.on_tick(self.now))

    def _update_freshness(self, daemon: SimulatedDaemon) -> None:
        superseded_at = (
            version.published_at
            for version in self.versions
            if version.cfg.version > daemon.version
        )
        fresh_until = min(superseded_at, default=self.now) + FRESH_SECONDS
        daemon.manager.set_fresh(self.now < fresh_until, self.now)

    def _deliver(self, delivery: Delivery) -> None:
        daemon = self.daemons[delivery.message.to]
        if daemon.paused_until > self.now:
            delivery.due_at = daemon.paused_until
            heapq.heappush(self._deliveries, delivery)
        elif daemon.is_active(self.now):
            body = delivery.message.body
            actions = daemon.manager.on_message(delivery.sender, body, self.now)
            self._perform(delivery.message.to, actions)

    def _perform(self, name: str, actions: TokenActions) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(name, action)
            else:
                self._record_outcome(action)

    def _record_outcome(self, action: TokenGranted | TokenRefused) -> None:
        admitted = isinstance(action, TokenGranted)
        self.outcomes.append(TokenOutcome(self.now, action.req_id, admitted))

    def _send(self, sender: str, message: Send) -> None:
        blob = encode((message.body,))
        self.sent_bytes += len(blob)
        message = Send(message.to, _first_body(decode(blob)))
        copies = 1 + (self._rng.random() < self.link.duplicate_fraction)
        for _ in range(copies):
            due_at = self.now + self.link.latency_seconds
            due_at += self._rng.random() * self.link.max_jitter_seconds
            delivery = Delivery(due_at, next(self._sequence), sender, message)
            self.sent_messages.append(delivery)
            if not self._is_lost(sender, message.to):
                heapq.heappush(self._deliveries, delivery)

    def _is_lost(self, sender: str, to: str) -> bool:
        if (sender, to) in self.cut_links:
            return True
        return self._rng.random() < self.link.loss_fraction


def _first_body(bodies: Iterable[Any]) -> Any:
    return next(iter(bodies))
