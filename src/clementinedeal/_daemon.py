"""The daemon: builds its parts, runs them and stops them gracefully."""

import functools
import random
import signal
from collections.abc import Iterable
from typing import Any

import trio
from result import Ok

from clementinedeal._cancel_messages import CancelAnswer, CancelExecution
from clementinedeal._cancel_messenger import CancelMessenger
from clementinedeal._control import ControlChannel
from clementinedeal._directory import Directory
from clementinedeal._dispatch import Dispatcher
from clementinedeal._entry_view import (
    REFRESH_SECONDS,
    EntryView,
    format_incarnation,
)
from clementinedeal._envelope import Keyring
from clementinedeal._events import EventLog
from clementinedeal._executions import ExecutionTable
from clementinedeal._http_server import HttpServer
from clementinedeal._hub import Hub
from clementinedeal._kernel import Kernel
from clementinedeal._key_rotation import KeyRotation, Reload
from clementinedeal._managers import ManagerContext, Managers
from clementinedeal._messages import Send
from clementinedeal._metrics import Metrics
from clementinedeal._model import Config
from clementinedeal._operator import OperatorEndpoints
from clementinedeal._platform import HttpPlatform
from clementinedeal._platform_reads import PlatformReads
from clementinedeal._pool import ConnPool
from clementinedeal._serving_side import (
    ServingContext,
    ServingSide,
    http_limits,
)
from clementinedeal._settings import DaemonSettings
from clementinedeal._status import StatusReporter
from clementinedeal._timers import MonotonicClock, Timers
from clementinedeal._view_actions import (
    ConfigInForce,
    ReadPlatform,
    WatchRoot,
)
from clementinedeal._view_recorder import ViewRecorder
from clementinedeal._views import FleetView

# Interval at which the fleet view and the execution table are updated.
VIEW_TICK_SECONDS = 0.1
# Pause of a stop between the leaving notices and the end of the listeners, in
# which peers turn to other targets.
LEAVING_NOTICE_SECONDS = 0.5
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon:
    """One daemon process, which runs beside an instance.

    At first only the control channel, the platform client and the operator
    endpoints run. Callers and peers are served once a configuration is in
    force.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        reload: Reload | None = None,
    ) -> None:
        """Build the parts that need no configuration.

        :param settings: validated settings of this daemon.
        :param reload: reads the settings again at SIGHUP; only changed fleet
            keys are applied. Without it SIGHUP changes nothing.
        """
        rng = random.SystemRandom()
        clock = MonotonicClock()
        fleet = FleetView(settings, rng, clock.now())
        incarnation = format_incarnation(fleet.incarnation(settings.instance))
        dispatcher = Dispatcher()
        self._kernel = Kernel()
        timers = self._kernel.register('timers', Timers(clock))
        self._shared = ManagerContext(
            settings=settings,
            clock=clock,
            hub=Hub(timers, dispatcher),
            dispatcher=dispatcher,
            events=EventLog(settings.instance, incarnation),
            metrics=Metrics(),
            fleet=fleet,
        )
        pool = self._kernel.register('connections', ConnPool(clock))
        platform = HttpPlatform(settings.platform, pool)
        self._kernel.register('platform', platform)
        self._serving_context = self._build_serving_context(rng, incarnation)
        rotation = KeyRotation(
            self._serving_context.keyring,
            reload or functools.partial(Ok, settings),
            self._shared.events,
        )
        self._kernel.register('key rotation', rotation)
        self._kernel.register('operator', self._build_operator_server())
        self._serving_side: ServingSide | None = None
        self._is_fresh = False
        self._configured = trio.Event()
        self._stopping = trio.Event()
        self._subscribe()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        async with trio.open_nursery() as nursery:
            await self._kernel.start(nursery)
            self._shared.events.emit(
                'daemon-started',
                zone=self._shared.settings.zone,
            )
            nursery.start_soon(self._wait_for_signal)
            nursery.start_soon(self._serve_when_configured, nursery)
            await self._stopping.wait()
            await self._drain()
            await self._kernel.stop()
            nursery.cancel_scope.cancel()
        self._shared.events.emit('daemon-stopped')

    def _build_serving_context(
        self,
        rng: random.Random,
        incarnation: str,
    ) -> ServingContext:
        shared = self._shared
        settings = shared.settings
        directory = Directory(settings.instance)
        keyring = Keyring(
            {key.name: key.secret for key in settings.fleet_keys},
        )
        control = ControlChannel(
            settings.control,
            keyring,
            shared.events,
            directory.control_address,
            shared.hub.receive,
        )
        self._kernel.register('control', control)
        return ServingContext(
            shared=shared,
            pool=self._kernel.find('connections', ConnPool),
            keyring=keyring,
            executions=ExecutionTable(incarnation),
            directory=directory,
            view=EntryView(settings.instance, shared.fleet, shared.clock, rng),
            cancel_messenger=CancelMessenger(
                control.send, self._cancel_locally
            ),
            status=StatusReporter(shared, directory),
        )

    def _subscribe(self) -> None:
        shared = self._shared
        hub = shared.hub
        hub.on_message.append(self._handle_view_message)
        hub.on_message.append(self._serving_context.cancel_messenger.on_message)
        hub.on_pause.append(self._rejoin)
        hub.every(VIEW_TICK_SECONDS, self._serving_context.executions.on_tick)
        hub.on_stop.append(shared.fleet.stop)
        hub.every(VIEW_TICK_SECONDS, shared.fleet.on_tick)
        hub.every(VIEW_TICK_SECONDS, self._update_freshness)
        hub.every(REFRESH_SECONDS, self._serving_context.view.refresh)
        self._kernel.find('timers', Timers).on_pause(hub.report_pause)
        self._register_actions()

    def _register_actions(self) -> None:
        shared = self._shared
        reads = PlatformReads(
            self._kernel.find('platform', HttpPlatform),
            shared.fleet,
            shared.dispatcher,
            shared.clock,
            shared.events,
        )
        self._kernel.register('platform reads', reads)
        handlers = (
            (Send, self._kernel.find('control', ControlChannel).send),
            (ReadPlatform, reads.read),
            (WatchRoot, reads.watch),
            (ConfigInForce, self._apply_config),
        )
        for kind, handler in handlers:
            shared.dispatcher.register(kind, handler)
        ViewRecorder(
            shared.dispatcher,
            self._serving_context.directory,
            self._serving_context.status,
            shared.events,
        )

    def _build_operator_server(self) -> HttpServer:
        shared = self._shared
        status = self._serving_context.status
        endpoints = OperatorEndpoints(
            shared.events,
            shared.metrics,
            status.status,
            functools.partial(
                status.update_gauges,
                self._kernel.find('control', ControlChannel),
                self._kernel.find('platform', HttpPlatform),
            ),
        )
        return HttpServer(
            shared.settings.operator,
            endpoints.serve,
            http_limits(shared.settings.limits),
            shared.events,
        )

    async def _serve_when_configured(self, nursery: trio.Nursery) -> None:
        await self._configured.wait()
        if self._serving_side is not None:
            await self._serving_side.start(nursery)
            self._serving_context.status.is_listening = True
            self._shared.events.emit('daemon-serving')

    async def _wait_for_signal(self) -> None:
        with trio.open_signal_receiver(*_STOP_SIGNALS) as signals:
            # keeps receiving, since a second signal must not kill the process
            async for _ in signals:
                self._stopping.set()

    async def _drain(self) -> None:
        self._shared.events.emit('daemon-draining')
        self._serving_context.status.is_draining = True
        self._shared.hub.report_stop()
        await trio.sleep(LEAVING_NOTICE_SECONDS)
        seconds = self._shared.settings.limits.drain_timeout_seconds
        if self._serving_side is not None:
            await self._serving_side.stop(seconds)

    def _apply_config(self, action: ConfigInForce) -> None:
        cfg = action.cfg
        context = self._serving_context
        context.directory.take_config(cfg)
        context.view.on_config(cfg)
        self._shared.events.emit(
            'config-in-force',
            version=cfg.version,
            preset=cfg.preset.value,
        )
        if self._serving_side is None:
            self._build_serving_side(cfg)
        else:
            self._shared.hub.apply_config(cfg)

    def _build_serving_side(self, cfg: Config) -> None:
        managers = Managers(self._shared, cfg)
        self._serving_context.status.managers = managers
        self._serving_context.view.holders = managers.holders
        self._serving_side = ServingSide(self._serving_context, managers)
        self._serving_context.status.owner = self._serving_side.owner
        self._configured.set()

    def _cancel_locally(self, cancel_request: CancelExecution) -> CancelAnswer:
        if self._serving_side is None:
            return CancelAnswer.UNKNOWN
        return self._serving_side.owner.cancel(cancel_request)

    def _update_freshness(self, now: float) -> None:
        is_fresh = self._shared.fleet.is_fresh(now)
        if is_fresh != self._is_fresh:
            self._is_fresh = is_fresh
            name = 'config-fresh' if is_fresh else 'config-stale'
            self._shared.events.emit(name)
            self._shared.hub.report_freshness(is_fresh)

    def _rejoin(self, gap: float, now: float) -> list[object]:
        """Rejoin the fleet as a new incarnation after a pause.

        :param gap: length of the pause in seconds.
        :param now: monotonic time in seconds.
        """
        shared = self._shared
        actions = shared.fleet.on_pause(now)
        me = shared.settings.instance
        incarnation = format_incarnation(shared.fleet.incarnation(me))
        shared.events.incarnation = incarnation
        self._serving_context.executions.on_pause(incarnation)
        shared.events.emit('daemon-paused', seconds=f'{gap:.3f}')
        return actions

    def _handle_view_message(
        self,
        sender: str,
        body: Any,
        now: float,
    ) -> Iterable[Any]:
        fleet = self._shared.fleet
        return (
            fleet.on_message(sender, body, now) if fleet.handles(body) else ()
        )
