"""One daemon: builds its parts, runs them, stops them gracefully."""

import signal

import trio

from clementinedeal._access import Access
from clementinedeal._entry import Entry
from clementinedeal._entry_parts import EntryParts
from clementinedeal._envelope import Keyring, Outcome
from clementinedeal._events import EventLog, wall_ms
from clementinedeal._executions import ExecutionTable
from clementinedeal._feed import Feed
from clementinedeal._forwarding import (
    Ownership,
    PeerClient,
    PeerParts,
    PeerServer,
)
from clementinedeal._http import HttpLimits
from clementinedeal._metrics import Metrics
from clementinedeal._model import Config, Target
from clementinedeal._operator import DaemonStatus, Operator, TargetStatus
from clementinedeal._owner import Owner, OwnerParts
from clementinedeal._platform import HttpPlatform
from clementinedeal._pool import ConnPool
from clementinedeal._http_server import HttpServer
from clementinedeal._settings import DaemonSettings
from clementinedeal._target_call import TargetCaller
from clementinedeal._thin import (
    MetricsRecorder,
    NoCancel,
    NoIdempotency,
    Onlooker,
    OpenTokenGate,
    SemaphoreSlots,
    ThinView,
)
from clementinedeal._timers import MonotonicClock

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon:
    """Everything that runs in one process."""

    def __init__(self, settings: DaemonSettings) -> None:
        """Build the parts.

        :param settings: checked settings of this daemon.
        """
        self._settings = settings
        self._clock = MonotonicClock()
        self._events = EventLog(settings.instance, f'{wall_ms():x}')
        self._metrics = Metrics()
        self._pool = ConnPool(self._clock)
        self._view = ThinView()
        self._slots = SemaphoreSlots(self._slots_of)
        self._view.learn_incarnation(
            settings.instance,
            self._events.incarnation,
        )
        self._draining = False
        self._owner = self._build_owner()
        self._peer_parts = PeerParts(
            keyring=Keyring(
                {key.name: key.secret for key in settings.fleet_keys},
            ),
            events=self._events,
            pool=self._pool,
            on_outcome=self._on_outcome,
        )
        self._feed = Feed(
            HttpPlatform(settings.platform, self._pool),
            self._events,
            self._take,
        )
        self._servers = self._build_servers()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        async with trio.open_nursery() as nursery:
            for server in self._servers:
                await nursery.start(server.run)
            nursery.start_soon(self._feed.run)
            self._events.emit('daemon-started')
            with trio.open_signal_receiver(*_STOP_SIGNALS) as signals:
                await anext(signals)
            await self._stop()
            nursery.cancel_scope.cancel()
        self._events.emit('daemon-stopped')

    async def _stop(self) -> None:
        self._events.emit('daemon-draining')
        self._draining = True
        seconds = self._settings.limits.drain_timeout_seconds
        for server in self._servers:
            await server.stop(seconds)

    def _build_owner(self) -> Owner:
        return Owner(
            OwnerParts(
                clock=self._clock,
                events=self._events,
                executions=ExecutionTable(self._events.incarnation),
                tokens=OpenTokenGate(),
                slots=self._slots,
                watcher=Onlooker(),
                caller=TargetCaller(self._pool),
            ),
        )

    def _build_servers(self) -> tuple[HttpServer, ...]:
        settings = self._settings
        limits = HttpLimits(
            head_bytes=settings.limits.max_head_bytes,
            head_timeout=settings.limits.head_timeout_seconds,
            idle_timeout=settings.limits.idle_timeout_seconds,
            body_timeout=settings.limits.body_timeout_seconds,
        )
        entry = Entry(
            EntryParts(
                me=settings.instance,
                clock=self._clock,
                events=self._events,
                view=self._view,
                owner=self._owner,
                peers=PeerClient(self._peer_parts),
                remote=NoCancel(),
                idempotency=NoIdempotency(),
                recorder=MetricsRecorder(self._metrics),
                max_body_bytes=settings.limits.max_body_bytes,
            ),
        )
        peer = PeerServer(
            self._peer_parts,
            Ownership(self._owner, self._find_target, self._describe),
        )
        operator = Operator(
            self._events,
            self._metrics,
            self._status,
            lambda: None,
        )
        served = (
            (settings.caller, entry.serve),
            (settings.peer, peer.serve),
            (settings.operator, operator.serve),
        )
        return tuple(
            HttpServer(address, serve, limits, self._events)
            for address, serve in served
        )

    def _take(self, cfg: Config) -> None:
        self._view.access = Access(cfg)
        self._events.emit(
            'config-in-force',
            version=cfg.version,
            preset=cfg.preset.value,
        )

    def _find_target(self, name: str) -> Target | None:
        cfg = self._cfg
        target = cfg.targets.get(name) if cfg else None
        owned = target and target.instance == self._settings.instance
        return target if owned else None

    def _slots_of(self, name: str) -> int:
        target = self._find_target(name)
        return target.slots if target else 1

    def _describe(self, name: str) -> tuple[float, str]:
        return self._slots.load(name), 'in-use'

    def _on_outcome(self, owner: str, target: str, outcome: Outcome) -> None:
        self._view.learn_incarnation(owner, outcome.incarnation)

    @property
    def _cfg(self) -> Config | None:
        return self._view.access.cfg if self._view.access else None

    def _status(self) -> DaemonStatus:
        cfg = self._cfg
        owned = cfg.targets.values() if cfg else ()
        return DaemonStatus(
            instance=self._settings.instance,
            incarnation=self._events.incarnation,
            zone=self._settings.zone,
            serving=cfg is not None and not self._draining,
            draining=self._draining,
            config_version=cfg.version if cfg else 0,
            preset=cfg.preset.value if cfg else '',
            fresh=True,
            rejected='',
            alive_instances=0,
            targets=tuple(
                TargetStatus(
                    name=target.name,
                    service=target.service,
                    state='in-use',
                    load=self._slots.load(target.name),
                )
                for target in owned
                if target.instance == self._settings.instance
            ),
        )
