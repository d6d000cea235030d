"""The serving parts of two daemons, and stand-in targets, in one process."""

import hashlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from clementinedeal import (
    Account,
    Config,
    Instance,
    Preset,
    PresetName,
    Route,
    Service,
    Target,
)
from clementinedeal._access import Access
from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._entry import Entry
from clementinedeal._entry_parts import EntryParts
from clementinedeal._envelope import Keyring
from clementinedeal._events import EventLog
from clementinedeal._executions import ExecutionTable
from clementinedeal._forwarding import (
    OwnedTargets,
    PeerClient,
    PeerParts,
    PeerServer,
)
from clementinedeal._http import HttpLimits
from clementinedeal._http_server import HttpServer
from clementinedeal._owner import Owner, OwnerParts
from clementinedeal._pool import ConnPool
from clementinedeal._target_call import TargetCaller
from clementinedeal._timers import MonotonicClock
from clementinedeal_bench._gray_failures import GraySettings
from clementinedeal_bench._target import Target as StandIn
from clementinedeal_bench._target import TargetSettings
from clementinedeal_bench._web_server import WebServer
from ports import free_address

KEY = b'sesame'
SECRET = b'0' * 32


def instance(name: str) -> Instance:
    return Instance(
        name=name,
        zone='z',
        region='r',
        caller=free_address(),
        peer=free_address(),
        control=free_address(),
        operator=free_address(),
    )


def make_config(owners: tuple[str, ...]) -> Config:
    preset = Preset(name=PresetName.ORDINARY, deadline=2)
    return Config(
        version=1,
        preset=PresetName.ORDINARY,
        presets={PresetName.ORDINARY: preset},
        services={'desk': Service(name='desk', floor=1)},
        targets={
            f't-{owner}': Target(
                name=f't-{owner}',
                service='desk',
                instance=owner,
                address=free_address(),
            )
            for owner in owners
        },
        routes=(
            Route(method='GET', prefix='/', service='desk', idempotent=True),
            Route(method='POST', prefix='/', service='desk', idempotent=False),
        ),
        accounts={
            'acme': Account(
                name='acme',
                key_digests=(hashlib.sha256(KEY).hexdigest(),),
                rate=100,
                burst=100,
                services=('desk',),
            ),
        },
        instances={name: instance(name) for name in ('a', 'b')},
    )


class PassingGates:
    """Stub for all gates: admits every request and keeps no state."""

    async def take(self, req_id: str, account: str) -> None:
        return None

    async def acquire(self, *request: Any) -> None:
        return None

    def release(self, req_id: str, target: str) -> None:
        return None

    def load(self, target: str) -> float:
        return 0

    def refusal(self, target: str, *, idempotent: bool) -> None:
        return None

    def started(self, req_id: str, target: str, *, idempotent: bool) -> None:
        return None

    def ended(self, req_id: str, target: str, reply: Any) -> None:
        return None

    def state(self, target: str) -> str:
        return 'in-use'

    async def claim(self, incoming: Any) -> None:
        return None

    def settle(self, incoming: Any, result: Any) -> None:
        return None

    def record(self, *finished: Any) -> None:
        return None

    def record_early_refusal(self, reason: Any) -> None:
        return None


@dataclass
class FixedView:
    """Stub for the entry's view: the candidates are always ``order``."""

    access: Access
    order: tuple[str, ...]
    has_fresh_config: bool = True
    incarnations: dict[str, str] = field(default_factory=dict)

    def is_fresh(self) -> bool:
        return self.has_fresh_config

    def candidates(self, granted: Any) -> tuple[str, ...]:
        return self.order

    def incarnation(self, name: str) -> str:
        return self.incarnations.get(name, '')

    def learn_incarnation(self, name: str, incarnation: str) -> None:
        self.incarnations[name] = incarnation


class DaemonNode:
    """The parts of one daemon that serve requests as entry and as owner."""

    def __init__(self, name: str, cfg: Config, view: FixedView) -> None:
        self.cfg = cfg
        self.events = EventLog(name, f'{name}1')
        clock = MonotonicClock()
        pool = ConnPool(clock)
        gates = PassingGates()
        self.executions = ExecutionTable(f'{name}1')
        self.owner = Owner(
            OwnerParts(
                clock,
                self.events,
                self.executions,
                gates,
                gates,
                gates,
                TargetCaller(pool),
            ),
        )
        parts = PeerParts(
            Keyring({'k': SECRET}),
            self.events,
            pool,
            lambda owner, target, outcome, seconds: view.learn_incarnation(
                owner,
                outcome.incarnation,
            ),
            lambda owner: None,
        )
        entry = Entry(
            EntryParts(
                name,
                clock,
                self.events,
                view,
                self.owner,
                PeerClient(parts),
                self,
                gates,
                gates,
                max_body_bytes=200_000,
            ),
        )
        owned_targets = OwnedTargets(
            self.owner,
            cfg.targets.get,
            lambda target: (0.0, 'in-use'),
        )
        peer = PeerServer(parts, owned_targets)
        addresses = cfg.instances[name]
        limits = HttpLimits(body_timeout=1)
        self.servers = (
            HttpServer(addresses.caller, entry.serve, limits, self.events),
            HttpServer(addresses.peer, peer.serve, limits, self.events),
        )

    async def cancel(self, owner: str, cancel_request: Any) -> CancelAnswer:
        return CancelAnswer.UNKNOWN


@dataclass
class Fleet:
    """Two running daemons, the configuration and the stand-in targets."""

    cfg: Config
    view: FixedView
    nodes: dict[str, DaemonNode]
    targets: dict[str, StandIn]

    def misbehave(self, target: str, **change: Any) -> None:
        settings = msgspec.convert(change, GraySettings)
        self.targets[target].fault_injector.configure(settings, 0)

    def executions(self) -> list[dict[str, Any]]:
        return [
            msgspec.json.decode(line)
            for target in self.targets.values()
            for line in target.execution_log.json_lines().splitlines()
        ]


@asynccontextmanager
async def running_fleet(
    owners: tuple[str, ...] = ('b',),
) -> AsyncIterator[Fleet]:
    cfg = make_config(owners)
    view = FixedView(Access(cfg), tuple(cfg.targets))
    nodes = {name: DaemonNode(name, cfg, view) for name in cfg.instances}
    view.incarnations['a'] = 'a1'
    targets: dict[str, StandIn] = {}
    async with trio.open_nursery() as nursery:
        for node in nodes.values():
            for server in node.servers:
                await nursery.start(server.run)
        for target in cfg.targets.values():
            host, port = target.address.split(':')
            stand_in = StandIn(
                TargetSettings(
                    name=target.name, service_seconds=0, service_time_sigma=0
                ),
            )
            targets[target.name] = stand_in
            server = WebServer(stand_in.handle, 360)
            listener = await server.listen(host, int(port))
            nursery.start_soon(server.serve, listener)
        yield Fleet(cfg, view, nodes, targets)
        nursery.cancel_scope.cancel()
