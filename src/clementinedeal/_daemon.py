"""One daemon: builds its parts, runs them, stops them gracefully."""

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
from clementinedeal._front import Front, FrontContext, http_limits
from clementinedeal._http_server import HttpServer
from clementinedeal._hub import Hub
from clementinedeal._kernel import Kernel
from clementinedeal._key_rotation import KeyRotation, Reload
from clementinedeal._managers import ManagerContext, Managers
from clementinedeal._messages import Send
from clementinedeal._metrics import Metrics
from clementinedeal._model import Config
from clementinedeal._operator import Operator
from clementinedeal._platform import HttpPlatform
from clementinedeal._platform_reads import PlatformReads
from clementinedeal._pool import ConnPool
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

VIEW_SECONDS = 0.1
NOTICE_SECONDS = 0.5
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon:
    """Everything that runs in one process."""

    def __init__(
        self,
        settings: DaemonSettings,
        reload: Reload | None = None,
    ) -> None:
        """Build the parts that need no configuration.

        :param settings: checked settings of this daemon.
        :param reload: reads them again at SIGHUP; only the fleet keys are
            taken over. Without it SIGHUP changes nothing.
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
        self._front_context = self._build_front_context(rng, incarnation)
        rotation = KeyRotation(
            self._front_context.keyring,
            reload or functools.partial(Ok, settings),
            self._shared.events,
        )
        self._kernel.register('key rotation', rotation)
        self._kernel.register('operator', self._build_operator())
        self._front: Front | None = None
        self._fresh = False
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
            nursery.start_soon(self._await_signal)
            nursery.start_soon(self._serve_when_configured, nursery)
            await self._stopping.wait()
            await self._drain()
            await self._kernel.stop()
            nursery.cancel_scope.cancel()
        self._shared.events.emit('daemon-stopped')

    def _build_front_context(
        self,
        rng: random.Random,
        incarnation: str,
    ) -> FrontContext:
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
        return FrontContext(
            shared=shared,
            pool=self._kernel.find('connections', ConnPool),
            keyring=keyring,
            executions=ExecutionTable(incarnation),
            directory=directory,
            view=EntryView(settings.instance, shared.fleet, shared.clock, rng),
            cancels=CancelMessenger(control.send, self._cancel_here),
            status=StatusReporter(shared, directory),
        )

    def _subscribe(self) -> None:
        shared = self._shared
        hub = shared.hub
        hub.on_message.append(self._view_message)
        hub.on_message.append(self._front_context.cancels.on_message)
        hub.on_pause.append(self._renew)
        hub.every(VIEW_SECONDS, self._front_context.executions.on_tick)
        hub.on_stop.append(shared.fleet.stop)
        hub.every(VIEW_SECONDS, shared.fleet.on_tick)
        hub.every(VIEW_SECONDS, self._note_fresh)
        hub.every(REFRESH_SECONDS, self._front_context.view.refresh)
        self._kernel.find('timers', Timers).on_pause(hub.pause)
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
            (ConfigInForce, self._take_config),
        )
        for kind, handler in handlers:
            shared.dispatcher.register(kind, handler)
        ViewRecorder(
            shared.dispatcher,
            self._front_context.directory,
            self._front_context.status,
            shared.events,
        )

    def _build_operator(self) -> HttpServer:
        shared = self._shared
        status = self._front_context.status
        operator = Operator(
            shared.events,
            shared.metrics,
            status.status,
            functools.partial(
                status.refresh,
                self._kernel.find('control', ControlChannel),
                self._kernel.find('platform', HttpPlatform),
            ),
        )
        return HttpServer(
            shared.settings.operator,
            operator.serve,
            http_limits(shared.settings.limits),
            shared.events,
        )

    async def _serve_when_configured(self, nursery: trio.Nursery) -> None:
        await self._configured.wait()
        if self._front is not None:
            await self._front.start(nursery)
            self._front_context.status.listening = True
            self._shared.events.emit('daemon-serving')

    async def _await_signal(self) -> None:
        with trio.open_signal_receiver(*_STOP_SIGNALS) as signals:
            # one that comes again must not end the process at once
            async for _ in signals:
                self._stopping.set()

    async def _drain(self) -> None:
        self._shared.events.emit('daemon-draining')
        self._front_context.status.draining = True
        self._shared.hub.stop()
        await trio.sleep(NOTICE_SECONDS)
        seconds = self._shared.settings.limits.drain_timeout_seconds
        if self._front is not None:
            await self._front.stop(seconds)

    def _take_config(self, action: ConfigInForce) -> None:
        cfg = action.cfg
        context = self._front_context
        context.directory.take_config(cfg)
        context.view.take_config(cfg)
        self._shared.events.emit(
            'config-in-force',
            version=cfg.version,
            preset=cfg.preset.value,
        )
        if self._front is None:
            self._open(cfg)
        else:
            self._shared.hub.take_config(cfg)

    def _open(self, cfg: Config) -> None:
        managers = Managers(self._shared, cfg)
        self._front_context.status.managers = managers
        self._front_context.view.holders = managers.holders
        self._front = Front(self._front_context, managers)
        self._front_context.status.owner = self._front.owner
        self._configured.set()

    def _cancel_here(self, wish: CancelExecution) -> CancelAnswer:
        if self._front is None:
            return CancelAnswer.UNKNOWN
        return self._front.owner.cancel(wish)

    def _note_fresh(self, now: float) -> None:
        fresh = self._shared.fleet.is_fresh(now)
        if fresh != self._fresh:
            self._fresh = fresh
            name = 'config-fresh' if fresh else 'config-stale'
            self._shared.events.emit(name)
            self._shared.hub.set_fresh(fresh)

    def _renew(self, gap: float, now: float) -> list[object]:
        """Rejoin as a new incarnation after a pause."""
        shared = self._shared
        actions = shared.fleet.on_pause(now)
        me = shared.settings.instance
        incarnation = format_incarnation(shared.fleet.incarnation(me))
        shared.events.incarnation = incarnation
        self._front_context.executions.on_pause(incarnation)
        shared.events.emit('daemon-paused', seconds=f'{gap:.3f}')
        return actions

    def _view_message(
        self,
        sender: str,
        body: Any,
        now: float,
    ) -> Iterable[Any]:
        fleet = self._shared.fleet
        return (
            fleet.on_message(sender, body, now) if fleet.handles(body) else ()
        )
