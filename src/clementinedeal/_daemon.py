"""One daemon: builds its parts, runs them, stops them gracefully."""

import functools
import random
import signal
from collections.abc import Iterable
from typing import Any

import trio
from result import Ok

from clementinedeal._cancels import Cancels
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
from clementinedeal._executions import (
    CancelAnswer,
    CancelExecution,
    ExecutionTable,
)
from clementinedeal._front import Front, FrontContext, http_limits
from clementinedeal._http_server import HttpServer
from clementinedeal._hub import Hub
from clementinedeal._key_rotation import KeyRotation, Reload
from clementinedeal._messages import Send
from clementinedeal._metrics import Metrics
from clementinedeal._model import Config
from clementinedeal._offices import OfficeContext, Offices
from clementinedeal._operator import Operator
from clementinedeal._platform import HttpPlatform
from clementinedeal._platform_reads import PlatformReads
from clementinedeal._pool import ConnPool
from clementinedeal._settings import DaemonSettings
from clementinedeal._status import StatusDesk
from clementinedeal._timers import MonotonicClock, Timers
from clementinedeal._view_actions import (
    ConfigInForce,
    ConfigRejected,
    InstanceLeaving,
    InstanceLeft,
    PeerAddress,
    ReadPlatform,
    WatchRoot,
)
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
        self._timers = Timers(clock)
        self._shared = OfficeContext(
            settings=settings,
            clock=clock,
            hub=Hub(self._timers, dispatcher),
            dispatcher=dispatcher,
            events=EventLog(settings.instance, incarnation),
            metrics=Metrics(),
            fleet=fleet,
        )
        self._pool = ConnPool(clock)
        self._platform = HttpPlatform(settings.platform, self._pool)
        self._front_context = self._build_front_context(rng, incarnation)
        self._rotation = KeyRotation(
            self._front_context.keyring,
            reload or functools.partial(Ok, settings),
            self._shared.events,
        )
        self._front: Front | None = None
        self._fresh = False
        self._configured = trio.Event()
        self._stopping = trio.Event()
        self._subscribe()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        async with trio.open_nursery() as nursery:
            await self._start_control(nursery)
            nursery.start_soon(self._await_signal)
            nursery.start_soon(self._rotation.run)
            nursery.start_soon(self._serve_when_configured, nursery)
            await self._stopping.wait()
            await self._stop()
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
        self._control = ControlChannel(
            settings.control,
            keyring,
            shared.events,
            directory.control_address,
        )
        return FrontContext(
            shared=shared,
            pool=self._pool,
            keyring=keyring,
            executions=ExecutionTable(incarnation),
            directory=directory,
            view=EntryView(settings.instance, shared.fleet, shared.clock, rng),
            cancels=Cancels(self._control.send, self._cancel_here),
            status=StatusDesk(shared, directory),
        )

    def _subscribe(self) -> None:
        shared = self._shared
        hub = shared.hub
        hub.on_message.append(self._view_message)
        hub.on_message.append(self._front_context.cancels.on_message)
        hub.on_pause.append(self._renew)
        hub.every(VIEW_SECONDS, self._front_context.executions.on_tick)
        hub.on_stop.append(shared.fleet.stop)
        reads = PlatformReads(
            self._platform,
            shared.fleet,
            shared.dispatcher,
            shared.clock,
            shared.events,
        )
        self._reads = reads
        handlers = (
            (Send, self._control.send),
            (ReadPlatform, reads.read),
            (WatchRoot, reads.watch),
            (PeerAddress, self._meet),
            (ConfigInForce, self._take_config),
            (ConfigRejected, self._note_rejected),
            (InstanceLeaving, self._note_leaving),
            (InstanceLeft, self._note_left),
        )
        for kind, handler in handlers:
            shared.dispatcher.register(kind, handler)

    async def _start_control(self, nursery: trio.Nursery) -> None:
        shared = self._shared
        await self._control.start()
        nursery.start_soon(self._control.run_sender)
        nursery.start_soon(self._control.run_receiver, shared.hub.receive)
        nursery.start_soon(self._reads.run)
        await trio.lowlevel.checkpoint()
        shared.hub.every(VIEW_SECONDS, shared.fleet.on_tick)
        shared.hub.every(VIEW_SECONDS, self._note_fresh)
        shared.hub.every(REFRESH_SECONDS, self._front_context.view.refresh)
        self._timers.on_pause(shared.hub.pause)
        nursery.start_soon(self._timers.run)
        status = self._front_context.status
        operator = Operator(
            shared.events,
            shared.metrics,
            status.status,
            functools.partial(status.refresh, self._control, self._platform),
        )
        self._operator_server = HttpServer(
            shared.settings.operator,
            operator.serve,
            http_limits(shared.settings.limits),
            shared.events,
        )
        await nursery.start(self._operator_server.run)
        shared.events.emit('daemon-started', zone=shared.settings.zone)

    async def _serve_when_configured(self, nursery: trio.Nursery) -> None:
        await self._configured.wait()
        if self._front is not None:
            await self._front.start(nursery)
            self._front_context.status.listening = True
            self._shared.events.emit('daemon-serving')

    async def _await_signal(self) -> None:
        with trio.open_signal_receiver(*_STOP_SIGNALS) as signals:
            await anext(signals)
        self._stopping.set()

    async def _stop(self) -> None:
        self._shared.events.emit('daemon-draining')
        self._front_context.status.draining = True
        self._shared.hub.stop()
        await trio.sleep(NOTICE_SECONDS)
        seconds = self._shared.settings.limits.drain_timeout_seconds
        if self._front is not None:
            await self._front.stop(seconds)
        await self._operator_server.stop(0)
        await self._control.stop()
        await self._pool.aclose()

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
        offices = Offices(self._shared, cfg)
        self._front_context.status.offices = offices
        self._front_context.view.holders = offices.holders
        self._front = Front(self._front_context, offices)
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

    def _meet(self, action: PeerAddress) -> None:
        self._front_context.directory.meet(action.instance, action.control)

    def _note_rejected(self, action: ConfigRejected) -> None:
        self._front_context.status.rejected = (
            f'{action.version}: {action.reason}'
        )
        self._shared.events.emit(
            'config-rejected',
            version=action.version,
            reason=action.reason,
        )

    def _note_leaving(self, action: InstanceLeaving) -> None:
        self._shared.events.emit('instance-leaving', peer=action.instance)

    def _note_left(self, action: InstanceLeft) -> None:
        self._shared.events.emit('instance-left', peer=action.instance)
