"""Whole daemons before stand-ins of the platform and its targets."""

import contextlib
import time
from dataclasses import dataclass, field

import pytest
import trio
import trio.lowlevel
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
from clementinedeal.mesh._daemon import KILL_MARGIN_SECONDS, MeshDaemon
from clementinedeal.mesh._settings import NodeSettings
from clementinedeal.platform import PlatformDialect, PlatformStore

HOSTS = ('127.0.0.1', '127.0.0.2', '127.0.0.3')


@dataclass
class Fleet:
    store: Store
    targets: list = field(default_factory=list)
    daemons: list = field(default_factory=list)
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


def node(number, store):
    host = HOSTS[number]
    port = free_address().rpartition(':')[2]
    return NodeSettings(
        instance=f'n{number}',
        zone='a',
        callers=f'{host}:{port}',
        peers=f'{host}:{PEER_PORT}',
        ready=f'{host}:{free_address().rpartition(":")[2]}',
        target=f'{host}:{free_address().rpartition(":")[2]}',
        service='till',
        platform=store.address,
        ports=(DATAGRAM_PORT, DATAGRAM_PORT),
    )


PEER_PORT = int(free_address().rpartition(':')[2])
DATAGRAM_PORT = int(free_address().rpartition(':')[2])


@pytest.fixture
async def fleet(nursery):
    store = Store()
    await store.start(nursery)
    store.put('op/config', configuration())
    fleet = Fleet(store)
    for number in range(len(HOSTS)):
        settings = node(number, store)
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
        nursery.start_soon(daemon.run)
    for number in range(len(HOSTS)):
        await ready(fleet, number)
    return fleet


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


async def test_serves_every_kind_from_every_daemon(fleet):
    for number in range(3):
        for path in ('/look/1', '/book/1'):
            answer, whole = await fleet.send(number, path, b'body')
            assert answer.status == 200
            assert answer.header(b'server-seal') == b's'
            assert whole.endswith(b':body')
    answer, _ = await fleet.send(0, '/open/1', key='')
    assert answer.status == 200


async def test_targets_see_account_and_caller_and_no_key(fleet):
    for number in range(3):
        await fleet.send(number, '/book/1', b'x')
    for _, _, headers, _ in fleet.runs():
        assert headers[b'tenant'] == b'shop'
        assert headers[b'caller-service'] == b'till'
        assert b'authorization' not in headers
        assert not any(name.startswith(b'x-clem') for name in headers)
        assert int(headers[b'deadline-ms']) <= 2000


async def test_unknown_routes_and_keys(fleet):
    answer, _ = await fleet.send(0, '/none/1')
    assert answer.status == 404
    answer, _ = await fleet.send(0, '/look/1', key='wrong')
    assert answer.status == 401
    answer, _ = await fleet.send(0, '/look/1', key='')
    assert answer.status == 401


async def test_withdrawn_key_is_refused(fleet):
    fleet.store.put('op/config', configuration(2, api_keys=['key-2']))
    await answers(fleet, 1, 401, seconds=2)
    answer, _ = await fleet.send(1, '/look/1', key='key-2')
    assert answer.status == 200


@pytest.mark.parametrize('mode', ['fail', 'reset', 'foreign', 'endless'])
async def test_idempotent_requests_go_round_a_failing_target(fleet, mode):
    fleet.targets[0].mode = mode
    statuses = [
        (await fleet.send(number % 3, '/look/1'))[0].status
        for number in range(30)
    ]
    assert statuses.count(200) >= 29


@pytest.mark.parametrize('mode', ['fail', 'reset', 'foreign', 'endless'])
async def test_others_run_at_most_once(fleet, mode):
    for target in fleet.targets:
        target.mode = mode
    for number in range(12):
        answer, _ = await fleet.send(number % 3, '/book/1', b'x')
        assert answer.status == (500 if mode == 'fail' else 502)
    ids = [name for name, path, _, _ in fleet.runs() if path == '/book/1']
    assert len(ids) == len(set(ids)) == 12


async def test_an_endless_answer_is_given_up_at_once(fleet):
    fleet.targets[0].mode = 'endless'
    events = fleet.daemons[0].events
    with trio.fail_after(5):
        while b'"answer-cut"' not in events.json_lines():
            answer, _ = await fleet.send(0, '/look/1')
            assert answer.status == 200
    assert b'"deadline"' not in events.json_lines()


async def test_a_failing_target_is_set_aside_for_bookings(fleet):
    fleet.targets[0].mode = 'fail'
    statuses = [
        (await fleet.send(number % 3, '/book/1'))[0].status
        for number in range(40)
    ]
    assert statuses.count(200) >= 36


async def test_shed_requests_go_elsewhere(fleet):
    fleet.targets[0].mode = 'shed'
    for number in range(9):
        answer, _ = await fleet.send(number % 3, '/book/1')
        assert answer.status == 200


async def test_caller_that_leaves_takes_its_request_along(fleet):
    for target in fleet.targets:
        target.mode = 'hang'
    for number in range(3):
        with trio.move_on_after(0.15):
            await fleet.send(number, '/look/1')
    await trio.sleep(0.6)
    assert sum(target.left for target in fleet.targets) >= 3


async def test_leaving_target_gets_no_new_work(fleet):
    leaving = fleet.targets[0]
    fleet.store.put(
        'servers/t0',
        registration(leaving.address, state='draining'),
    )
    await trio.sleep(1.5)
    before = len(leaving.seen)
    for number in range(12):
        answer, _ = await fleet.send(number % 3, '/book/1')
        assert answer.status == 200
    assert len(leaving.seen) == before


async def test_another_process_at_the_address_is_not_used(fleet):
    fleet.targets[0].name = 'successor'
    for number in range(9):
        answer, whole = await fleet.send(number % 3, '/book/1')
        assert answer.status == 200
        assert not whole.startswith(b'successor')


async def test_serves_on_while_the_store_is_away(fleet):
    fleet.store.mode = 'silent'
    await trio.sleep(2.5)
    answer, _ = await fleet.send(0, '/open/1', key='')
    assert answer.status == 200
    answer, _ = await fleet.send(0, '/look/1')
    assert answer.status == 200


async def test_keys_are_refused_once_nothing_proves_them(fleet):
    fleet.store.mode = 'silent'
    await trio.sleep(5.2)
    answer, _ = await fleet.send(0, '/look/1')
    assert answer.status == 503
    assert answer.header(b'x-verdict') == b'not-run'
    fleet.store.mode = 'ok'
    await answers(fleet, 0, 200, seconds=4)


async def test_answers_at_the_routes_timeout(fleet):
    for target in fleet.targets:
        target.mode = 'hang'
    started = trio.current_time()
    answer, _ = await fleet.send(0, '/book/1', patience_ms=9000)
    assert 1.9 < trio.current_time() - started < 2.5
    assert answer.status in {502, 504}


async def is_ready(fleet, number):
    address = fleet.settings[number].ready
    conn = await fleet.pool.acquire(address)
    await conn.send_whole(RequestHead('GET', '/-/ready', HOST), b'')
    answer = await conn.read_head()
    conn.abort()
    return answer.status == 200


HOST = ((b'host', b'x'),)


async def test_planned_stop_cuts_no_request(fleet, nursery):
    fleet.targets[0].seconds = 0.5
    statuses = []

    async def ask():
        answer, _ = await fleet.send(0, '/book/1')
        statuses.append(answer.status)

    assert await is_ready(fleet, 0)
    for _ in range(5):
        nursery.start_soon(ask)
    await trio.sleep(0.1)
    fleet.daemons[0].stop()
    await trio.lowlevel.checkpoint()
    assert not await is_ready(fleet, 0)
    answer, _ = await fleet.send(0, '/book/1')
    assert answer.status == 200
    assert answer.header(b'connection') == b'close'
    await trio.sleep(0.8)
    assert statuses == [200] * 5


async def test_late_requests_of_a_stopping_daemon_are_refused_unrun(fleet):
    for target in fleet.targets:
        target.mode = 'hang'
    async with trio.open_nursery() as nursery:
        # a request that runs on keeps the daemon up
        nursery.start_soon(fleet.send, 0, '/open/1', b'')
        await trio.sleep(0.2)
        fleet.daemons[0].stop()
        await trio.sleep(1.5)
        nursery.cancel_scope.cancel()
    for target in fleet.targets:
        target.mode = 'ok'
        target.seconds = 1.5
    before = len(fleet.runs())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.send, 0, '/look/2')
        await trio.sleep(1.2)
        answer, _ = await fleet.send(0, '/book/late')
        assert answer.status == 503
        assert answer.header(b'x-verdict') == b'not-run'
    assert not [one for one in fleet.runs()[before:] if one[1] == '/book/late']


async def test_what_waits_for_a_target_is_refused_before_the_end(
    fleet,
    nursery,
):
    for target in fleet.targets:
        target.mode = 'shed'
    fleet.daemons[0].stop()
    fleet.daemons[0]._sender.closing = True
    answer, _ = await fleet.send(0, '/book/1')
    assert answer.status == 503
    assert answer.header(b'x-reason') == b'draining'


async def test_a_slow_loop_does_not_delay_the_end(fleet, nursery):
    for target in fleet.targets:
        target.mode = 'hang'

    async def keep_busy():
        while True:
            with contextlib.suppress(ConnLostError):
                await fleet.send(0, '/open/1')
            await trio.lowlevel.checkpoint()

    async def hold_up():
        while True:
            time.sleep(0.06)  # noqa: ASYNC251
            await trio.sleep(0.01)

    nursery.start_soon(keep_busy)
    nursery.start_soon(hold_up)
    await trio.sleep(0.3)
    begun = trio.current_time()
    await fleet.daemons[0]._drain()
    left = fleet.settings[0].bounds.stop - (trio.current_time() - begun)
    nursery.cancel_scope.cancel()
    # a round of the loop may end it late
    assert left > KILL_MARGIN_SECONDS - 0.1


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


async def test_a_long_run_behind_another_daemon_is_answered(far):
    far.targets[1].seconds = 1.0
    answer, whole = await far.send(0, '/book/long', b'x')
    assert answer.status == 200
    assert whole == b't1:x'


async def test_a_booking_keeps_its_place_in_a_queue(far, nursery):
    far.targets[1].seconds = 0.7
    nursery.start_soon(far.send, 1, '/book/first', b'x')
    await trio.sleep(0.1)
    answer, _ = await far.send(0, '/book/second', b'x')
    assert answer.status == 200
    paths = [path for _, path, _, _ in far.runs() if 'book' in path]
    assert paths == ['/book/first', '/book/second']
