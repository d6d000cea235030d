"""Fleet views of many daemons, in virtual time, over a lossy network.

A fleet view is a daemon's knowledge of the configuration and the instances.
"""

import heapq
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, TypeVar

from clementinedeal._messages import Send, decode, encode
from clementinedeal._model import Config, Instance
from clementinedeal._publication import ROOT_NAME
from clementinedeal._settings import DaemonSettings, FleetKey
from clementinedeal._view_actions import (
    ConfigInForce,
    ConfigRejected,
    InstanceList,
    ReadPlatform,
    WatchRoot,
)
from clementinedeal._views import FleetView
from clementinedeal_bench._simulated_platform import SimulatedPlatform

ResultT = TypeVar('ResultT')

# a call of a view's method at a virtual time; returns the view's actions
ViewInput = Callable[[float], list[Any]]

TICK_SECONDS = 0.2
PLATFORM_LATENCY_SECONDS = 0.005  # from a read to its answer


@dataclass(slots=True, kw_only=True)
class Network:
    """Faults of the network between daemons.

    :param loss_fraction: fraction of the messages that are lost.
    :param duplicate_fraction: fraction of the messages that are sent twice.
    :param min_delay_seconds: least delay of a message.
    :param max_delay_seconds: greatest delay of a message.
    :param cut_links: pairs of sender and receiver whose messages are lost.
    """

    loss_fraction: float = 0.0
    duplicate_fraction: float = 0.0
    min_delay_seconds: float = 0.0005
    max_delay_seconds: float = 0.003
    cut_links: set[tuple[str, str]] = field(default_factory=set)


@dataclass(slots=True)
class DaemonProcess:
    """One process of a daemon.

    :param name: instance name.
    :param view: its fleet view.
    :param versions_in_force: versions that came into force, in that order.
    :param rejected: versions that it did not accept.
    :param is_paused: whether the process is frozen.
    :param is_down: whether the process has ended.
    :param inbox: calls that wait for the end of the pause.
    """

    name: str
    view: FleetView
    versions_in_force: list[int] = field(default_factory=list)
    rejected: list[ConfigRejected] = field(default_factory=list)
    is_paused: bool = False
    is_down: bool = False
    inbox: list[ViewInput] = field(default_factory=list)


class VirtualFleet:
    """Carries out the actions of fleet views and counts their cost.

    ``now`` is the virtual time in seconds. ``message_count`` and
    ``sent_bytes`` count the messages sent, without duplicates;
    ``busy_seconds`` is the processor time of views and codec.
    """

    def __init__(self, cfg: Config, seed: int, replica_count: int = 1) -> None:
        """Create a fleet in which no daemon runs yet.

        :param cfg: configuration that names the instances.
        :param seed: seed of every random choice.
        :param replica_count: number of copies of the platform's values.
        """
        self.now = 0.0
        self.cfg = cfg
        self.network = Network()
        self.platform = SimulatedPlatform(replica_count)
        self.processes: dict[str, DaemonProcess] = {}
        self.message_count = 0
        self.sent_bytes = 0
        self.busy_seconds = 0.0
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._names = sorted(cfg.instances)

    def start(self, name: str) -> None:
        """Start a daemon; an earlier process of it ends.

        :param name: instance name.
        """
        self.stop(name)
        settings = _make_settings(self.cfg.instances[name])
        rng = random.Random(self._rng.getrandbits(32))
        process = DaemonProcess(name, FleetView(settings, rng, self.now))
        self.processes[name] = process
        phase = self._rng.uniform(0, TICK_SECONDS)
        self._schedule(self.now + phase, partial(self._tick, process))

    def stop(self, name: str) -> None:
        """End a daemon at once; nothing happens if it does not run.

        :param name: instance name.
        """
        if name in self.processes:
            self.processes.pop(name).is_down = True

    def call_view(self, name: str, call: ViewInput) -> None:
        """Call a method of a daemon's view and carry out its actions.

        :param name: instance name.
        :param call: the method, which takes the virtual time in seconds.
        """
        self._deliver(self.processes[name], call)

    def pause(self, name: str) -> None:
        """Freeze a daemon; its messages and answers wait until it is resumed.

        :param name: instance name.
        """
        self.processes[name].is_paused = True

    def resume(self, name: str) -> None:
        """Continue a paused daemon and deliver what arrived meanwhile.

        :param name: instance name.
        """
        process = self.processes[name]
        process.is_paused = False
        self.call_view(name, process.view.on_pause)
        inbox = process.inbox
        process.inbox = []
        for call in inbox:
            self._deliver(process, call)

    def run(self, seconds: float) -> None:
        """Advance the time and run all events that become due.

        :param seconds: virtual time to advance.
        """
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[-1]()
        self.now = end

    def _tick(self, process: DaemonProcess) -> None:
        if process.is_down:
            return
        self._schedule(self.now + TICK_SECONDS, partial(self._tick, process))
        self.platform.expire_watches(self.now)
        if not process.is_paused:
            self._perform(process, self._call_timed(process.view.on_tick))

    def _perform(self, process: DaemonProcess, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(process.name, action)
            elif isinstance(action, ReadPlatform | WatchRoot):
                self._read_platform(process, action)
            elif isinstance(action, ConfigInForce):
                process.versions_in_force.append(action.cfg.version)
            elif isinstance(action, ConfigRejected):
                process.rejected.append(action)

    def _send(self, sender: str, action: Send) -> None:
        started_at = time.process_time()
        blob = encode((action.body,))
        self.busy_seconds += time.process_time() - started_at
        self.message_count += 1
        self.sent_bytes += len(blob)
        copies = 1 + (self._rng.random() < self.network.duplicate_fraction)
        for _ in range(copies):
            if self._rng.random() >= self.network.loss_fraction:
                call = partial(self._receive, sender, action.to, blob)
                delay = self._rng.uniform(
                    self.network.min_delay_seconds,
                    self.network.max_delay_seconds,
                )
                self._schedule(self.now + delay, call)

    def _receive(self, sender: str, to: str, blob: bytes) -> None:
        process = self.processes.get(to)
        if process is None or (sender, to) in self.network.cut_links:
            return
        started_at = time.process_time()
        bodies = decode(blob)
        self.busy_seconds += time.process_time() - started_at
        for body in bodies:
            self._deliver(
                process,
                partial(process.view.on_message, sender, body),
            )

    def _deliver(self, process: DaemonProcess, call: ViewInput) -> None:
        if process.is_paused:
            process.inbox.append(call)
        elif not process.is_down:
            self._perform(process, self._call_timed(call))

    def _read_platform(
        self, process: DaemonProcess, action: ReadPlatform | WatchRoot
    ) -> None:
        name = action.name if isinstance(action, ReadPlatform) else ROOT_NAME
        if not self.platform.is_reachable(process.name):
            self._schedule_reply(process, name, None, is_failure=True)
            return
        replica = self._names.index(process.name)
        if isinstance(action, ReadPlatform):
            value = self.platform.read(name, replica, self.now)
            self._schedule_reply(process, name, value, is_failure=value is None)
            return
        self.platform.watch(
            replica,
            action.after_version,
            self.now + action.timeout_seconds,
            self.now,
            partial(self._schedule_reply, process, name),
        )

    def _schedule_reply(
        self,
        process: DaemonProcess,
        name: str,
        value: Any,
        *,
        is_failure: bool = False,
    ) -> None:
        reply_at = self.now + PLATFORM_LATENCY_SECONDS
        failed = is_failure or not self.platform.is_reachable(process.name)
        call = _platform_input(process.view, name, value, is_failure=failed)
        self._schedule(reply_at, partial(self._deliver, process, call))

    def _call_timed(self, call: Callable[[float], ResultT]) -> ResultT:
        started_at = time.process_time()
        result = call(self.now)
        self.busy_seconds += time.process_time() - started_at
        return result

    def _schedule(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), event))


def _platform_input(
    view: FleetView,
    name: str,
    value: Any,
    *,
    is_failure: bool,
) -> ViewInput:
    if is_failure:
        return partial(view.on_platform_failure, name)
    if isinstance(value, InstanceList):
        return partial(view.on_platform_list, value)
    if name == ROOT_NAME:
        return partial(view.on_platform_root, value)
    return partial(view.on_platform_part, value)


def _make_settings(instance: Instance) -> DaemonSettings:
    return DaemonSettings(
        instance=instance.name,
        zone=instance.zone,
        region=instance.region,
        caller=instance.caller,
        peer=instance.peer,
        control=instance.control,
        operator=instance.operator,
        platform=('127.0.0.1:1',),
        fleet_keys=(FleetKey(name='k', secret=bytes(16)),),
    )
