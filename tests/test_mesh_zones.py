"""Evacuated zones and bound regions, through a fleet of whole daemons."""

import functools
import itertools

import pytest
import trio
from tests.mesh_fleet import start_fleet
from tests.store_standin import configuration

from clementinedeal.mesh._settings import Bounds

REGIONS = {'a': 'north', 'b': 'south', 'c': 'south'}
# Time in which a change of the store reaches every daemon.
SETTLE_SECONDS = 0.5


@pytest.fixture
async def fleet(nursery):
    """Three daemons, each in a zone of its own."""
    return await start_fleet(
        nursery,
        zones='abc',
        bounds=Bounds(evacuate_seconds=5),
        zone_regions=REGIONS,
    )


async def send_many(fleet, path='/look/1', count=30):
    """Return the answers to requests that are sent over all daemons."""
    return [
        (await fleet.send(number % 3, path, b'x'))[0] for number in range(count)
    ]


def clear_runs(fleet):
    for target in fleet.targets:
        target.executed.clear()


def run_counts(fleet):
    """Return how many requests each target ran."""
    return [len(target.executed) for target in fleet.targets]


async def test_evacuated_zone_gets_nothing_until_it_is_taken_back(
    fleet, nursery
):
    statuses = []

    async def keep_sending(number):
        for path in itertools.cycle(('/look/1', '/book/1', '/open/1')):
            answer, _ = await fleet.send(number, path, b'x')
            statuses.append(answer.status)

    async with trio.open_nursery() as callers:
        for number in range(3):
            callers.start_soon(keep_sending, number)
        await trio.sleep(SETTLE_SECONDS)
        assert all(run_counts(fleet))
        fleet.store.put('op/evacuate/b', {})
        await trio.sleep(SETTLE_SECONDS)
        clear_runs(fleet)
        # another declaration, and a history without the evacuation
        fleet.store.put('op/config', configuration(2))
        fleet.store.drop_history()
        await trio.sleep(2 * SETTLE_SECONDS)
        first, evacuated, third = run_counts(fleet)
        assert (first > 0, evacuated, third > 0) == (True, 0, True)
        assert not fleet.daemons[1]._owner.is_busy
        fleet.store.delete('op/evacuate/b')
        await trio.sleep(SETTLE_SECONDS)
        assert all(run_counts(fleet))
        callers.cancel_scope.cancel()
    assert set(statuses) == {200}


async def test_requests_are_refused_at_once_while_all_zones_are_evacuated(
    fleet,
):
    for zone in 'abc':
        fleet.store.put(f'op/evacuate/{zone}', {})
    await trio.sleep(SETTLE_SECONDS)
    clear_runs(fleet)
    with trio.fail_after(1):
        answers = await send_many(fleet, '/book/1')
    for answer in answers:
        assert answer.status == 503
        assert answer.header(b'x-reason') == b'zone-evacuated'
        assert answer.header(b'x-verdict') == b'not-run'
        assert float(answer.header(b'retry-after')) > 0
    assert not any(run_counts(fleet))


def bind_routes(version, *regions, **account):
    """Return a configuration whose routes are bound to regions."""
    value = configuration(version, **account)
    for resource in value['resources']:
        if resource['entry_type'] == 'routes':
            resource['spec']['allowed_regions'] = list(regions)
    return value


async def test_requests_stay_in_the_regions_of_route_and_account(fleet):
    publish = functools.partial(fleet.store.put, 'op/config')
    publish(bind_routes(2, 'south'))
    await trio.sleep(SETTLE_SECONDS)
    for path in ('/look/1', '/book/1', '/open/1'):
        clear_runs(fleet)
        answers = await send_many(fleet, path)
        assert {answer.status for answer in answers} == {200}
        assert run_counts(fleet)[0] == 0
    publish(bind_routes(3, 'south', 'north', allowed_regions=['north']))
    await trio.sleep(SETTLE_SECONDS)
    clear_runs(fleet)
    await send_many(fleet)
    assert run_counts(fleet) == [30, 0, 0]
    # no home is left: both bind, or its zone is evacuated
    for orders, reason in (
        (bind_routes(4, 'south', allowed_regions=['north']), b'no-home'),
        (bind_routes(5, 'north'), b'zone-evacuated'),
        (bind_routes(6, 'west'), b'no-home'),
    ):
        publish(orders)
        fleet.store.put('op/evacuate/a', {})
        await trio.sleep(SETTLE_SECONDS)
        clear_runs(fleet)
        for answer in await send_many(fleet, count=6):
            assert answer.status == 503
            assert answer.header(b'x-reason') == reason
        assert not any(run_counts(fleet))
