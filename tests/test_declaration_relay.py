"""Declarations that daemons get from each other."""

import math
import random

import msgspec
import pytest
import trio
from tests.mesh_fleet import HOSTS, free_port, start_fleet
from tests.store_standin import configuration, large_configuration
from tests.test_mesh_declarations import update_of_version
from tests.test_mesh_readers import BOUNDS, make_target
from tests.trio_clock import TrioClock

from clementinedeal._events import EventLog
from clementinedeal._http import HttpLimits
from clementinedeal._http_server import HttpServer
from clementinedeal._pool import ConnPool
from clementinedeal._server_conn import ServerConn
from clementinedeal._timers import MonotonicClock, VirtualClock
from clementinedeal.mesh import _declaration_relay as relay
from clementinedeal.mesh import _fleet_news
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._declaration_relay import (
    DeclarationClient,
    DeclarationServer,
    RelayedDeclaration,
)
from clementinedeal.mesh._declarations import DeclarationFeed
from clementinedeal.mesh._reading_role import RELAY_FANOUT, ReadingRole
from clementinedeal.mesh._types import Declaration, Revision, Transfer
from clementinedeal.platform._declaration import decode_declaration

ASKER, PARENT, TELLER = HOSTS


def declaration_of(version):
    return update_of_version(version, version).declaration


class Held:
    """The declaration of one daemon."""

    def __init__(self):
        self.on_change = []
        self.catalog = None
        self.revision = Revision(0, 0)
        self.age = math.inf

    def hold(self, declaration, age=math.inf):
        self.catalog = Catalog(declaration)
        self.revision = Revision(1, declaration.version)
        self.age = age
        for handler in self.on_change:
            handler(self.catalog)


class Peers:
    """Two daemons that answer questions, and the client that asks them."""

    def __init__(self):
        self.port = free_port()
        self.held = {PARENT: Held(), TELLER: Held()}
        self.servers = {
            host: DeclarationServer(held) for host, held in self.held.items()
        }
        self.asked = []
        self.silent_hosts = set()
        self.clock = VirtualClock(100)
        self.role = ReadingRole(ASKER, 'a', BOUNDS, self.clock)
        self.role.relays = (PARENT,)
        self.events = EventLog('i', '1')
        self.client = DeclarationClient(
            ConnPool(MonotonicClock()),
            self.port,
            self.role,
            self.clock,
            self.events,
        )

    async def start(self, nursery, host):
        async def serve(conn, head):
            self.asked.append(host)
            if host in self.silent_hosts:
                await trio.sleep_forever()
            await self.servers[host].serve(conn, head)

        server = HttpServer(
            f'{host}:{self.port}', serve, HttpLimits(), self.events
        )
        await server.start(nursery)

    async def fetch(self, version):
        catalog = Catalog(declaration_of(version)) if version else None
        return await self.client.fetch(catalog, TELLER)


@pytest.fixture
async def peers(nursery):
    peers = Peers()
    for host in (PARENT, TELLER):
        await peers.start(nursery, host)
    return peers


@pytest.mark.parametrize('version', [0, 3])
async def test_newer_declaration_comes_with_its_proof(peers, version):
    for known in (3, 4):
        peers.held[PARENT].hold(declaration_of(known), age=0.4)
    relayed = await peers.fetch(version)
    assert relayed.catalog.declaration == declaration_of(4)
    assert relayed.revision == Revision(1, 4)
    assert relayed.confirmed_at == pytest.approx(peers.clock.now() - 0.4)
    assert relayed.transfer.source == PARENT
    assert peers.asked == [PARENT]


async def test_question_is_held_until_there_is_something_newer(peers, nursery):
    peers.held[PARENT].hold(declaration_of(3))
    relayed = []
    answered = trio.Event()

    async def ask():
        relayed.append(await peers.fetch(3))
        answered.set()

    nursery.start_soon(ask)
    await trio.sleep(0.4)
    assert not relayed
    peers.held[PARENT].hold(declaration_of(5))
    with trio.fail_after(relay.HOLD_SECONDS):
        await answered.wait()
    assert relayed[0].catalog.declaration.version == 5
    assert relayed[0].confirmed_at == -math.inf


async def test_next_daemon_is_asked_when_the_one_above_is_silent(peers):
    peers.silent_hosts.add(PARENT)
    peers.held[TELLER].hold(declaration_of(5))
    with trio.fail_after(relay.SILENCE_SECONDS + 0.2):
        relayed = await peers.fetch(3)
    assert relayed.transfer.source == TELLER


async def test_next_daemon_is_asked_when_the_one_above_stays_behind(
    peers, monkeypatch
):
    monkeypatch.setattr(relay, 'HOLD_SECONDS', 0.1)
    peers.held[TELLER].hold(declaration_of(5))
    relayed = await peers.fetch(3)
    assert relayed.transfer.source == TELLER
    assert peers.asked == [PARENT, TELLER]


async def test_asking_ends_in_time_when_all_are_silent(peers):
    peers.client._clock = TrioClock()
    peers.silent_hosts |= {PARENT, TELLER}
    limit = relay.ASKING_FRACTION * BOUNDS.config_seconds
    with trio.fail_after(limit + relay.SILENCE_SECONDS):
        assert await peers.fetch(3) is None


@pytest.mark.parametrize(('pause', 'arrives'), [(0.2, True), (0.7, False)])
async def test_change_is_received_to_its_end_as_long_as_it_arrives(
    peers, nursery, monkeypatch, pause, arrives
):
    peers.client._clock = TrioClock()
    pieces = 10

    async def send_slowly(conn, status, headers, body):
        await conn.start_answer(status, headers)
        size = len(body) // pieces + 1
        for start in range(0, len(body), size):
            await trio.sleep(pause)
            await conn.send_piece(body[start : start + size])
        await conn.end_answer()

    document = large_configuration(5, 2000)
    rng = random.Random(1)
    for entry in document['resources'][-2000:]:
        entry['spec']['prefix'] = f'/{rng.randbytes(16).hex()}/'
    blob = msgspec.json.encode(document)
    peers.held[PARENT].hold(decode_declaration(blob))
    peers.silent_hosts.add(TELLER)
    monkeypatch.setattr(
        ServerConn,
        'respond',
        lambda conn, status, headers, body=b'': send_slowly(
            conn, status, headers, body
        ),
    )
    relayed = await peers.fetch(0)
    assert (relayed is not None) == arrives


async def test_change_that_leads_elsewhere_is_not_used(peers, monkeypatch):
    for held in peers.held.values():
        held.hold(declaration_of(5))
    monkeypatch.setattr(relay, 'encode_change', lambda *_: b'no change')
    assert await peers.fetch(3) is None
    assert peers.events.json_lines().count(b'config-relay-failed') == 2


@pytest.mark.parametrize('count', [1, 2, 27, 233])
def test_every_daemon_of_a_zone_reaches_its_root_by_few_steps(count):
    targets = [
        make_target(number, zone='ab'[number % 2]) for number in range(count)
    ]
    parents = {}
    for target in targets:
        role = ReadingRole(target.host, target.zone, BOUNDS, VirtualClock())
        role.set_targets(targets)
        parents[target.host] = role.relays
    roots = [host for host, relays in parents.items() if not relays]
    assert len(roots) == min(2, count)
    nearest = [relays[0] for relays in parents.values() if relays]
    assert all(nearest.count(host) <= RELAY_FANOUT for host in nearest)
    for relays in parents.values():
        assert len(relays) <= 1 + math.log(count, RELAY_FANOUT)
        assert not relays or relays[-1] in roots
        assert not relays or parents[relays[0]] == relays[1:]


class HangingSource:
    """Shows version 3, then never answers a watch again."""

    def __init__(self):
        self.waits = []

    async def read(self):
        await trio.lowlevel.checkpoint()
        return update_of_version(3, 20)

    async def wait(self, revision, seconds):
        self.waits.append(revision)
        await trio.sleep_forever()


class ScriptedPeers:
    """Has a version, None for no answer."""

    def __init__(self, version):
        self.version = version

    async def fetch(self, catalog, teller):
        await trio.lowlevel.checkpoint()
        if self.version is None:
            return None
        return RelayedDeclaration(
            catalog=Catalog(declaration_of(self.version)),
            revision=Revision(1, 30),
            confirmed_at=100.0,
            transfer=Transfer(source=teller),
        )


async def follow_hanging(nursery, version):
    source = HangingSource()
    clock = VirtualClock(100)
    feed = DeclarationFeed(
        source, clock, EventLog('i', '1'), 5.0, peers=ScriptedPeers(version)
    )
    nursery.start_soon(feed.run)
    await trio.testing.wait_all_tasks_blocked()
    assert (feed.version, source.waits) == (3, [Revision(1, 20)])
    feed.on_reported(4, -math.inf, TELLER)
    await trio.testing.wait_all_tasks_blocked()
    return feed, source


async def test_call_that_hangs_does_not_hold_up_a_version_that_others_have(
    nursery,
):
    feed, source = await follow_hanging(nursery, 4)
    assert feed.version == 4
    assert source.waits == [Revision(1, 20), Revision(1, 30)]


@pytest.mark.parametrize('version', [None, 2, 3])
async def test_source_is_called_when_no_daemon_has_the_version(
    nursery, version
):
    feed, source = await follow_hanging(nursery, version)
    assert feed.version == 3
    assert source.waits == [Revision(1, 20), Revision(1, 20)]


async def test_new_version_is_read_by_the_readers_alone(nursery, monkeypatch):
    # no spare reader is asked
    monkeypatch.setattr(_fleet_news, 'REPLY_TIMEOUT_SECONDS', 5)
    fleet = await start_fleet(nursery)
    members = []
    with trio.fail_after(10):
        while len(members) != 1:
            await trio.sleep(0.2)
            members = [one for one in fleet.daemons if not one._role.is_reader]
    (member,) = members
    former_lines = member.events.json_lines().splitlines()
    fleet.store.put('op/config', large_configuration(4, 50))
    fleet.store.put('op/config', configuration(5))
    await trio.sleep(0.5)
    assert [one._declarations.version for one in fleet.daemons] == [5, 5, 5]
    lines = member.events.json_lines().splitlines()[len(former_lines) :]
    in_force = [line for line in lines if b'config-in-force' in line]
    assert in_force
    assert not any(b'platform' in line for line in in_force)


def test_empty_declaration_has_a_fingerprint():
    empty = Declaration(version=0, routes=(), services=(), accounts=())
    assert Catalog(empty).fingerprint
