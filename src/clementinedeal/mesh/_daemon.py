"""One mesh daemon: builds its parts, runs them, stops them gracefully."""

import functools
import random
import signal
from collections.abc import Callable

import trio
from result import Err, Result

from clementinedeal._byte_budget import ByteBudget
from clementinedeal._errors import SettingsError
from clementinedeal._events import EventLog
from clementinedeal._http import HttpLimits, RequestHead
from clementinedeal._http_server import HttpServer
from clementinedeal._incoming_request import new_request_id
from clementinedeal._pool import ConnPool
from clementinedeal._server_conn import ServerConn
from clementinedeal._timers import BootClock
from clementinedeal.mesh._admission import Admission
from clementinedeal.mesh._allowed_zones import ZoneRules
from clementinedeal.mesh._background_task import BackgroundTask, keep_running
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._call_failures import CallFailures
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._condition_probe import ConditionProbe
from clementinedeal.mesh._contracts import Dialect, OpenPlatform
from clementinedeal.mesh._crash_records import CrashRecords
from clementinedeal.mesh._datagram_router import DatagramRouter
from clementinedeal.mesh._datagrams import DatagramChannel
from clementinedeal.mesh._declaration_relay import (
    DeclarationClient,
    DeclarationServer,
)
from clementinedeal.mesh._declarations import DeclarationFeed
from clementinedeal.mesh._entry import MeshEntry, MeshEntryParts
from clementinedeal.mesh._evacuations import EvacuationTracker
from clementinedeal.mesh._explanation import Explainer
from clementinedeal.mesh._fleet_news import FleetNews, FleetNewsParts
from clementinedeal.mesh._gauges import GaugeParts, add_gauges
from clementinedeal.mesh._metrics import DaemonMetrics
from clementinedeal.mesh._operator_endpoint import OperatorEndpoint
from clementinedeal.mesh._owner import MeshOwner, MeshOwnerParts
from clementinedeal.mesh._peer_client import MeshPeerClient
from clementinedeal.mesh._peer_server import MeshPeerServer
from clementinedeal.mesh._peer_wire import DECLARATION_HEADER
from clementinedeal.mesh._process_limits import ProcessLimits
from clementinedeal.mesh._rate_limiter import AccountRateLimiter
from clementinedeal.mesh._reading_role import ReadingRole
from clementinedeal.mesh._registry_watch import RegistryWatch
from clementinedeal.mesh._sender import Sender, SenderParts
from clementinedeal.mesh._settings import MeshDaemonSettings
from clementinedeal.mesh._stop import PlannedStop, StopParts
from clementinedeal.mesh._target_client import TargetClient
from clementinedeal.mesh._target_feed import TargetFeed
from clementinedeal.mesh._zone_spill import ZoneSpill

# Interval at which the settings file is read again without a signal.
SETTINGS_POLL_SECONDS = 1.0
# Time limit for connecting to another daemon. A round trip between availability
# zones takes about 1 ms. A lost packet is sent again only after a second, so
# that it is faster to send the request to another target.
PEER_CONNECT_SECONDS = 0.15
# The same for the connections on which daemons ask each other for declarations:
# these are used seldom, so that a connection is mostly opened first.
RELAY_CONNECT_SECONDS = 0.3
ReloadSettings = Callable[[], Result[MeshDaemonSettings, SettingsError]]


class MeshDaemon:
    """The parts of one daemon process and the servers that expose them.

    ``count_dropped_lines`` returns how many log lines were dropped; the
    program that owns the log output sets it.
    """

    def __init__(
        self,
        settings: MeshDaemonSettings,
        reload: ReloadSettings,
        open_platform: OpenPlatform,
        dialect: Dialect,
    ) -> None:
        """Create a daemon that does not run yet.

        :param settings: checked settings.
        :param reload: reads the settings again.
        :param open_platform: opens the platform at an ``ip:port`` address.
        :param dialect: encodes and decodes headers.
        """
        self._settings = settings
        self._reload = reload
        self._dialect = dialect
        self._clock = BootClock()
        self.events = EventLog(settings.instance, new_request_id()[:8])
        self._limits = ProcessLimits(
            settings.memory_bytes, settings.max_descriptors
        )
        self._budget = ByteBudget(self._clock, self._limits.body_bytes)
        self._budget.on_cut = self._on_body_cut
        self._pool = ConnPool(self._clock)
        platform = open_platform(
            settings.platform_address,
            self._pool,
            self.events,
            has_evacuations=settings.bounds.evacuate_seconds is not None,
        )
        self._platform = platform
        host = settings.target_address.rpartition(':')[0]
        self._metrics = DaemonMetrics()
        self._role = ReadingRole(
            host,
            settings.zone,
            settings.bounds,
            self._clock,
            settings.link_mbps,
        )
        self._declarations = DeclarationFeed(
            platform,
            self._clock,
            self.events,
            settings.bounds.revoke_seconds,
            self._role,
            self._metrics,
            DeclarationClient(
                ConnPool(self._clock, RELAY_CONNECT_SECONDS),
                int(settings.peer_address.rpartition(':')[2]),
                self._role,
                self._clock,
                self.events,
            ),
        )
        self._declaration_server = DeclarationServer(self._declarations)
        self._evacuations = EvacuationTracker(self._clock, self.events)
        self._declarations.on_update.append(self._evacuations.on_update)
        self._stopping = trio.Event()
        self.count_dropped_lines: Callable[[], int] = int

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        try:
            async with trio.open_nursery() as nursery:
                self._build(nursery)
                for server in self._servers:
                    await server.start(nursery)
                await self._datagrams.open()
                for task in self._background_tasks():
                    nursery.start_soon(keep_running, task)
                nursery.start_soon(self._wait_for_stop_signal)
                self.events.emit(
                    'daemon-started',
                    zone=self._settings.zone,
                    ports=self._settings.port_range,
                    service=self._settings.service,
                )
                await self._stopping.wait()
                await self._stop.run(self._settings.bounds.stop_seconds)
                nursery.cancel_scope.cancel()
        finally:
            self._datagrams.close()
        self.events.emit('daemon-stopped')

    def _background_tasks(self) -> list[BackgroundTask]:
        """Return the tasks that run besides the servers."""
        return [
            self._declarations.run,
            functools.partial(
                self._datagrams.run,
                DatagramRouter(
                    rate_limiter=self._rate_limiter,
                    condition_probe=self._condition_probe,
                    crash_records=self._crash_records,
                    news=self._news,
                ).on_message,
            ),
            self._registry_watch.run,
            self._news.run,
            self._news.run_hints,
            functools.partial(
                self._targets.follow_list, self._settings.target_address
            ),
            self._targets.follow_own,
            self._owner.slot_queue.run,
            self._watch_settings,
            self._update_daemon_count,
        ]

    def stop(self) -> None:
        """Begin the graceful stop, as at SIGTERM."""
        self._stopping.set()

    def _build(self, nursery: trio.Nursery) -> None:
        rng = random.SystemRandom()
        settings = self._settings
        call_failures = CallFailures(self._clock)
        self._owner = MeshOwner(
            MeshOwnerParts(
                clock=self._clock,
                events=self.events,
                target_client=TargetClient(
                    settings.target_address,
                    ConnPool(self._clock, budget=self._budget),
                    self._dialect,
                    self._clock,
                    self.events,
                ),
                call_failures=call_failures,
                evacuations=self._evacuations,
                metrics=self._metrics,
                nursery=nursery,
                budget=self._budget,
            ),
        )
        host = settings.target_address.rpartition(':')[0]
        spill = ZoneSpill(self._clock, rng, self.events)
        balancer = Balancer(host, settings.zone, self._clock, rng, spill)
        self._metrics.service_gauges.update(
            zone_leave_share=spill.shares, zone_crossings=spill.crossings
        )
        self._targets = TargetFeed(
            self._platform,
            balancer,
            self._owner,
            self._clock,
            self.events,
            self._role,
        )
        self._registry_watch = RegistryWatch(
            self._platform, self._role, self._clock, self.events
        )
        self._datagrams = DatagramChannel(
            host, settings.port_range[0], self.events
        )
        self._news = FleetNews(
            FleetNewsParts(
                address=settings.target_address,
                role=self._role,
                declarations=self._declarations,
                evacuations=self._evacuations,
                targets=self._targets,
                registry_watch=self._registry_watch,
                datagrams=self._datagrams,
                clock=self._clock,
                events=self.events,
            ),
        )
        self._rate_limiter = AccountRateLimiter(
            host,
            lambda: self._targets.hosts,
            self._datagrams,
            self._clock,
            self.events,
            settings.bounds,
        )
        self._condition_probe = ConditionProbe(
            host, self._owner, balancer, self._datagrams
        )
        self._admission = Admission(
            self._dialect,
            self._declarations,
            self._rate_limiter,
            rng,
        )
        self._crash_records = CrashRecords(
            self._clock,
            self.events,
            self._datagrams,
            lambda: self._targets.hosts - {host},
        )
        self._owner.crash_detector.on_crash.append(
            lambda notice: nursery.start_soon(
                self._crash_records.report, notice
            )
        )
        self._zone_rules = ZoneRules(
            self._evacuations,
            lambda: self._settings.zone_regions,
            lambda: self._declarations.catalog,
        )
        self._sender = Sender(
            SenderParts(
                settings=lambda: self._settings,
                clock=self._clock,
                events=self.events,
                balancer=balancer,
                condition_probe=self._condition_probe,
                owner=self._owner,
                peer_client=MeshPeerClient(
                    ConnPool(self._clock, PEER_CONNECT_SECONDS, self._budget),
                    self._clock,
                ),
                zone_rules=self._zone_rules,
                crash_records=self._crash_records,
            ),
        )
        entry = MeshEntry(
            MeshEntryParts(
                clock=self._clock,
                events=self.events,
                admission=self._admission,
                sender=self._sender,
                call_failures=call_failures,
                metrics=self._metrics,
                nursery=nursery,
            ),
        )
        self._peer_requests = MeshPeerServer(self._owner, self.events, nursery)
        operator_endpoint = OperatorEndpoint(
            self._dialect,
            self._is_ready,
            self._metrics,
            Explainer(
                self._declarations, balancer, self._zone_rules, self._clock
            ),
        )
        limits = HttpLimits()
        self._caller_server = HttpServer(
            settings.caller_address,
            entry.serve,
            limits,
            self.events,
            self._budget,
            self._limits.caller_connections,
        )
        self._peer_server = HttpServer(
            settings.peer_address,
            self._serve_peer,
            limits,
            self.events,
            self._budget,
        )
        self._servers = (
            self._caller_server,
            self._peer_server,
            HttpServer(
                settings.ready_address,
                operator_endpoint.serve,
                limits,
                self.events,
            ),
        )
        self._stop = PlannedStop(
            StopParts(
                clock=self._clock,
                events=self.events,
                admission=self._admission,
                sender=self._sender,
                owner=self._owner,
                caller_server=self._caller_server,
                servers=self._servers,
            ),
        )
        add_gauges(
            self._metrics,
            GaugeParts(
                declarations=self._declarations,
                evacuations=self._evacuations,
                owner=self._owner,
                sender=self._sender,
                budget=self._budget,
                caller_server=self._caller_server,
                platform=self._platform,
                count_dropped_lines=lambda: self.count_dropped_lines(),
            ),
        )
        self._declarations.on_change.append(self._apply_limits)
        self._declarations.on_change.append(self._rate_limiter.set_catalog)

    def _apply_limits(self, catalog: Catalog) -> None:
        declaration = catalog.declaration
        self._owner.limit.warmup.set_services(declaration.services)
        limits = declaration.limits
        self._caller_server.set_limits(ProcessLimits.for_callers(limits))
        self._peer_server.set_limits(ProcessLimits.for_peers(limits))

    def _on_body_cut(self, size: int, idle_seconds: float) -> None:
        self.events.emit(
            'body-cut',
            bytes=size,
            idle=f'{idle_seconds:.2f}',
            held=self._budget.held_bytes,
        )

    def _is_ready(self) -> bool:
        has_declaration = self._declarations.catalog is not None
        return has_declaration and not self._stopping.is_set()

    async def _serve_peer(self, conn: ServerConn, head: RequestHead) -> None:
        """Pass a request of another daemon on to the part that it is for."""
        if head.header(DECLARATION_HEADER) is None:
            await self._peer_requests.serve(conn, head)
        else:
            await self._declaration_server.serve(conn, head)

    async def _update_daemon_count(self) -> None:
        while True:
            self._sender.daemon_count = max(1, len(self._targets.hosts))
            self._rate_limiter.update_hosts()
            await trio.sleep(1)

    async def _wait_for_stop_signal(self) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM,
            signal.SIGINT,
        ) as signals:
            # a repeated signal must not end the process at once
            async for _ in signals:
                self.stop()

    async def _watch_settings(self) -> None:
        """Apply changed settings, at SIGHUP and by polling."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                with trio.move_on_after(SETTINGS_POLL_SECONDS):
                    await anext(signals)
                    self.events.emit('settings-signal')
                self._apply_settings(self._reload())

    def _apply_settings(
        self,
        reloaded: Result[MeshDaemonSettings, SettingsError],
    ) -> None:
        if isinstance(reloaded, Err):
            self.events.emit('settings-rejected', reason=reloaded.err_value)
            return
        settings = reloaded.ok_value
        if settings == self._settings:
            return
        self.events.emit(
            'settings-reloaded',
            service=settings.service,
            former=self._settings.service,
        )
        self._settings = settings
