"""Declarations whose transfer takes a good part of the time they are due in."""

import json

import pytest
import trio
from tests.mesh_fleet import start_fleet
from tests.store_standin import StoreStandIn, large_configuration

from clementinedeal._events import EventLog
from clementinedeal._pool import ConnPool
from clementinedeal._timers import MonotonicClock
from clementinedeal.mesh._contracts import SourceError
from clementinedeal.mesh._settings import Bounds
from clementinedeal.platform import PlatformStore

ROUTES = 1000
TRANSFER_SECONDS = 1.2


def rate_for(document):
    """Return the bytes per second at which a configuration takes long."""
    encoded_bytes = len(json.dumps(document)) * 4 / 3
    return encoded_bytes / TRANSFER_SECONDS


@pytest.fixture
async def store(nursery):
    standin = StoreStandIn()
    await standin.start(nursery)
    return standin


async def test_answer_that_arrives_for_longer_than_a_call_may_take_is_read(
    store,
):
    document = large_configuration(4, ROUTES)
    store.put('op/config', document)
    store.bytes_per_second = rate_for(document)
    client = PlatformStore(
        store.address, ConnPool(MonotonicClock()), EventLog('i', '1')
    )
    with trio.fail_after(2 * TRANSFER_SECONDS):
        update = await client.read()
    assert update.declaration.version == 4
    assert len(update.declaration.routes) == ROUTES + 3


@pytest.mark.parametrize('bytes_per_second', [2000, 20_000])
async def test_answer_that_hardly_arrives_is_given_up(store, bytes_per_second):
    store.put('op/config', large_configuration(4, ROUTES))
    store.bytes_per_second = bytes_per_second
    client = PlatformStore(
        store.address, ConnPool(MonotonicClock()), EventLog('i', '1')
    )
    with trio.fail_after(3), pytest.raises(SourceError, match='in time'):
        await client.read()


async def test_large_version_is_in_force_everywhere_within_the_bound(nursery):
    bounds = Bounds(config_seconds=2.0)
    fleet = await start_fleet(nursery, bounds=bounds)
    await trio.sleep(1.5)
    document = large_configuration(4, ROUTES)
    fleet.store.bytes_per_second = rate_for(document)
    fleet.store.put('op/config', document)
    await trio.sleep(bounds.config_seconds)
    versions = [daemon._declarations.version for daemon in fleet.daemons]
    assert versions == [4, 4, 4]
    answer, _ = await fleet.send(2, '/more/7/x')
    assert answer.status == 200


async def test_unknown_route_or_key_is_no_final_answer_while_a_version_is_due(
    nursery,
):
    fleet = await start_fleet(nursery)
    feed = fleet.daemons[0]._declarations
    refusals = [('/new/1', 'key-1', 404), ('/look/1', 'new-key', 401)]
    for path, key, status in refusals:
        answer, _ = await fleet.send(0, path, key=key)
        assert answer.status == status
    fleet.store.mode = 'silent'
    feed.on_reported(feed.version + 1, float('-inf'), '127.0.0.9')
    for path, key, _ in refusals:
        answer, _ = await fleet.send(0, path, key=key)
        assert answer.status == 503
        assert float(answer.header(b'retry-after')) > 0
    answer, _ = await fleet.send(0, '/look/1')
    assert answer.status == 200
