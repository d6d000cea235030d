"""A fleet of whole daemons with stand-ins for the store and the targets."""

import contextlib
import math
from dataclasses import dataclass, field

import pytest
import trio
from result import Ok
from tests.ports import free_address
from tests.store_standin import (
    StoreStandIn,
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
from clementinedeal.mesh._settings import MeshDaemonSettings
from clementinedeal.platform import PlatformDialect, PlatformStore

HOSTS = ('127.0.0.1', '127.0.0.2', '127.0.0.3')


@dataclass
class Fleet:
    """Three daemons in this process, each with a target at its own address.

    Lists are indexed by the daemon's number; ``ended`` holds an event for each.
    """

    store: StoreStandIn
    targets: list = field(default_factory=list)
    daemons: list = field(default_factory=list)
    ended: list = field(default_factory=list)
    settings: list = field(default_factory=list)
    pool: ConnPool = field(default_factory=lambda: ConnPool(MonotonicClock()))
    request_count: int = 0

    async def send(self, number, path, body=b'', **more):
        """Send a request to a daemon; return the head and body of its answer.

        :param more: ``key``, the API key; ``patience_ms``, the timeout in ms.
        """
        self.request_count += 1
        key = more.get('key', 'key-1')
        headers = (
            (b'host', b'h.example'),
            (b'attempt-id', b'a%d' % self.request_count),
            (b'deadline-ms', b'%d' % more.get('patience_ms', 3000)),
            (b'content-length', b'%d' % len(body)),
        )
        if key:
            headers = (*headers, (b'authorization', b'Bearer ' + key.encode()))
        address = self.settings[number].caller_address
        conn = await self.pool.acquire(address)
        method = 'POST' if path.startswith('/book') else 'GET'
        head = RequestHead(method, path, headers)
        try:
            await conn.send_whole(head, body)
            answer = await conn.read_head()
            answer_body = b''.join([piece async for piece in conn.read_body()])
        except BaseException:
            conn.abort()
            raise
        await self.pool.release(address, conn)
        return answer, answer_body

    def runs(self):
        """Return the requests that the targets ran."""
        return [run for target in self.targets for run in target.executed]


def untimed_attempt():
    """Return the state of an attempt that is never overdue."""
    return PendingAttempt(trio.CancelScope(), math.inf)


def free_port():
    return int(free_address().rpartition(':')[2])


def make_settings(number, store, peer_port, datagram_port, **more):
    host = HOSTS[number]
    return MeshDaemonSettings(
        instance=f'n{number}',
        zone=more.pop('zone', 'a'),
        caller_address=f'{host}:{free_port()}',
        peer_address=f'{host}:{peer_port}',
        ready_address=f'{host}:{free_port()}',
        target_address=f'{host}:{free_port()}',
        service='till',
        platform_address=store.address,
        port_range=(datagram_port, datagram_port),
        **more,
    )


@pytest.fixture
async def fleet(nursery):
    return await start_fleet(nursery)


async def start_fleet(nursery, zones='aaa', **more):
    """Start a fleet and return it.

    :param zones: the zone of each daemon and its target.
    :param more: further settings of the daemons.
    """
    store = StoreStandIn()
    await store.start(nursery)
    store.put('op/config', configuration())
    fleet = Fleet(store)
    ports = (free_port(), free_port())
    for number in range(len(HOSTS)):
        settings = make_settings(
            number, store, *ports, zone=zones[number], **more
        )
        target = TargetStandIn(f't{number}', settings.target_address)
        await target.start(nursery)
        item = registration(settings.target_address)
        item['info']['zone'] = zones[number]
        store.put(f'servers/t{number}', item)
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
        nursery.start_soon(run_daemon, daemon, fleet.ended[-1])
    for number in range(len(HOSTS)):
        await wait_until_serving(fleet, number)
    return fleet


async def run_daemon(daemon, ended):
    await daemon.run()
    ended.set()


async def wait_until_serving(fleet, number):
    """Send lookups to a daemon until one is answered with 200."""
    with trio.fail_after(5):
        while True:
            with contextlib.suppress(ConnLostError):
                answer, _ = await fleet.send(number, '/look/1')
                if answer.status == 200:
                    return
            await trio.sleep(0.05)


async def wait_for_status(fleet, number, status, seconds):
    """Send lookups until one is answered with ``status``.

    :param seconds: time limit.
    :raises trio.TooSlowError: if no answer in that time has the status.
    """
    with trio.fail_after(seconds):
        received = None
        while received != status:
            answer, _ = await fleet.send(number, '/look/1')
            received = answer.status


@pytest.fixture
async def remote_target_fleet(fleet, monkeypatch):
    """A fleet whose only target in use has one slot and is at daemon 1."""
    monkeypatch.setattr(_peer_client, 'MAX_SILENCE_SECONDS', 0.15)
    monkeypatch.setattr(_peer_client, 'QUERY_SECONDS', 0.15)
    for number, state in enumerate(('draining', 'ready', 'draining')):
        item = registration(fleet.settings[number].target_address, state=state)
        item['info']['slots'] = 1
        fleet.store.put(f'servers/t{number}', item)
    await trio.sleep(2)
    return fleet
