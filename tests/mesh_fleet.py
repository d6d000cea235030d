"""Whole daemons before stand-ins of the platform and its targets."""

import contextlib
import math
from dataclasses import dataclass, field

import pytest
import trio
from result import Ok
from tests.ports import free_address
from tests.store_standin import (
    Store,
    TargetStandIn,
    configuration,
    registration,
)

from clementinedeal._http import ConnLostError, RequestHead
from clementinedeal._pool import ConnPool
from clementinedeal._timers import MonotonicClock
from clementinedeal.mesh import _peer_client
from clementinedeal.mesh._daemon import MeshDaemon
from clementinedeal.mesh._outcomes import PendingAttempt
from clementinedeal.mesh._settings import NodeSettings
from clementinedeal.platform import PlatformDialect, PlatformStore

HOSTS = ('127.0.0.1', '127.0.0.2', '127.0.0.3')


@dataclass
class Fleet:
    store: Store
    targets: list = field(default_factory=list)
    daemons: list = field(default_factory=list)
    ended: list = field(default_factory=list)
    settings: list = field(default_factory=list)
    pool: ConnPool = field(default_factory=lambda: ConnPool(MonotonicClock()))
    ids: int = 0

    async def send(self, number, path, body=b'', **more):
        self.ids += 1
        key = more.get('key', 'key-1')
        headers = (
            (b'host', b'h.example'),
            (b'attempt-id', b'a%d' % self.ids),
            (b'deadline-ms', b'%d' % more.get('patience_ms', 3000)),
            (b'content-length', b'%d' % len(body)),
        )
        if key:
            headers = (*headers, (b'authorization', b'Bearer ' + key.encode()))
        address = self.settings[number].callers
        conn = await self.pool.acquire(address)
        method = 'POST' if path.startswith('/book') else 'GET'
        head = RequestHead(method, path, headers)
        try:
            await conn.send_whole(head, body)
            answer = await conn.read_head()
            whole = b''.join([piece async for piece in conn.read_body()])
        except BaseException:
            conn.abort()
            raise
        await self.pool.release(address, conn)
        return answer, whole

    def runs(self):
        return [one for target in self.targets for one in target.seen]


def trying():
    """Return an attempt that nobody breaks off."""
    return PendingAttempt(trio.CancelScope(), math.inf, bool)


def free_port():
    return int(free_address().rpartition(':')[2])


def node(number, store, peer_port, datagram_port):
    host = HOSTS[number]
    return NodeSettings(
        instance=f'n{number}',
        zone='a',
        callers=f'{host}:{free_port()}',
        peers=f'{host}:{peer_port}',
        ready=f'{host}:{free_port()}',
        target=f'{host}:{free_port()}',
        service='till',
        platform=store.address,
        ports=(datagram_port, datagram_port),
    )


@pytest.fixture
async def fleet(nursery):
    store = Store()
    await store.start(nursery)
    store.put('op/config', configuration())
    fleet = Fleet(store)
    ports = (free_port(), free_port())
    for number in range(len(HOSTS)):
        settings = node(number, store, *ports)
        target = TargetStandIn(f't{number}', settings.target)
        await target.start(nursery)
        store.put(f'servers/t{number}', registration(settings.target))
        fleet.targets.append(target)
        fleet.settings.append(settings)
    for settings in fleet.settings:
        daemon = MeshDaemon(
            settings,
            lambda settings=settings: Ok(settings),
            PlatformStore,
            PlatformDialect(),
        )
        fleet.daemons.append(daemon)
        fleet.ended.append(trio.Event())
        nursery.start_soon(run, daemon, fleet.ended[-1])
    for number in range(len(HOSTS)):
        await ready(fleet, number)
    return fleet


async def run(daemon, ended):
    await daemon.run()
    ended.set()


async def ready(fleet, number):
    with trio.fail_after(5):
        while True:
            with contextlib.suppress(ConnLostError):
                answer, _ = await fleet.send(number, '/look/1')
                if answer.status == 200:
                    return
            await trio.sleep(0.05)


async def answers(fleet, number, status, seconds):
    """Ask until a status is answered."""
    with trio.fail_after(seconds):
        seen = None
        while seen != status:
            answer, _ = await fleet.send(number, '/look/1')
            seen = answer.status


@pytest.fixture
async def far(fleet, monkeypatch):
    """A fleet whose only target has one slot, behind another daemon."""
    monkeypatch.setattr(_peer_client, 'SILENCE_SECONDS', 0.15)
    monkeypatch.setattr(_peer_client, 'ASK_SECONDS', 0.15)
    for number, state in enumerate(('draining', 'ready', 'draining')):
        told = registration(fleet.settings[number].target, state=state)
        told['info']['slots'] = 1
        fleet.store.put(f'servers/t{number}', told)
    await trio.sleep(2)
    return fleet
