"""Entries of another writer among those of the targets."""

import json

import pytest
import trio
from tests.store_standin import MAX_PAGE_ITEMS, StoreStandIn, registration

from clementinedeal._events import EventLog
from clementinedeal._pool import ConnPool
from clementinedeal._timers import MonotonicClock
from clementinedeal.mesh._contracts import SourceError
from clementinedeal.platform import PlatformStore

DEPTH = 100_000
HUGE = 10**400


def odd_entry(name, address):
    """Return the value of an entry that is wrong in one way."""
    entry = registration(address)
    match name:
        case 'nested':
            text = json.dumps(entry)[:-1]
            return f'{text}, "more": {"[" * DEPTH}{"]" * DEPTH}}}'.encode()
        case 'nested-address':
            nested = '[' * DEPTH + ']' * DEPTH
            return json.dumps(entry).replace(f'"{address}"', nested).encode()
        case 'born-too-large':
            entry['born'] = 2**70
        case 'born-negative':
            entry['born'] = -(2**70)
        case 'slots-too-large':
            entry['info']['slots'] = HUGE
        case 'slots-exceed-64-bits':
            entry['info']['slots'] = 2**64
        case 'warmup-too-large':
            text = json.dumps(entry)
            return text.replace('"warmup_s_time": 0', '"warmup_s_time": 1e999')
        case 'warmup-negative':
            entry['status']['warmup_s_time'] = -(10**300)
        case 'port-out-of-range':
            entry['address'] = address.rpartition(':')[0] + ':70000'
        case 'port-too-long':
            entry['address'] = address.rpartition(':')[0] + ':' + '1' * 9000
        case 'zone-too-long':
            entry['info']['zone'] = 'z' * 100_000
        case 'service-too-long':
            entry['info']['service'] = 's' * 100_000
        case 'address-too-long':
            entry['address'] = '1' * 100_000
    return entry


ODD = (
    'nested',
    'nested-address',
    'born-too-large',
    'born-negative',
    'slots-too-large',
    'slots-exceed-64-bits',
    'warmup-too-large',
    'warmup-negative',
    'port-out-of-range',
    'port-too-long',
    'zone-too-long',
    'service-too-long',
    'address-too-long',
)


@pytest.fixture
async def store(nursery):
    standin = StoreStandIn()
    await standin.start(nursery)
    return standin


def as_bytes(value):
    return value.encode() if isinstance(value, str) else value


@pytest.mark.parametrize('name', ODD)
async def test_odd_entry_does_not_hide_the_others(store, name):
    events = EventLog('i', '1')
    client = PlatformStore(store.address, ConnPool(MonotonicClock()), events)
    store.put('servers/good', registration('10.0.0.1:80'))
    start = (await client.list_targets(may_lag=False)).revision
    store.put('servers/odd', as_bytes(odd_entry(name, '10.0.0.9:80')))
    listing = await client.list_targets(may_lag=False)
    assert list(listing.targets) == ['good']
    changes = await client.wait_changes(start, 1)
    assert changes.targets == {'odd': None}
    assert (await client.read_target('odd')).target is None
    (line,) = [
        line
        for line in events.json_lines().splitlines()
        if b'value-unreadable' in line
    ]
    assert len(line) < 1000


@pytest.mark.parametrize(
    'name', ['', 'a b', 'a\r\nx: y', 'a\x00', 'é', 't' * 200]
)
async def test_entry_whose_name_fits_no_header_is_left_out(store, name):
    client = PlatformStore(
        store.address, ConnPool(MonotonicClock()), EventLog('i', '1')
    )
    store.put('servers/good', registration('10.0.0.1:80'))
    store.put(f'servers/{name}', registration('10.0.0.9:80'))
    listing = await client.list_targets(may_lag=False)
    assert list(listing.targets) == ['good']


@pytest.mark.parametrize(
    'item', [{'key': 7}, {'value': 3}, {'revision': 'x'}, [], None, 5]
)
async def test_odd_item_does_not_hide_the_others_of_its_page(store, item):
    client = PlatformStore(
        store.address, ConnPool(MonotonicClock()), EventLog('i', '1')
    )
    store.put('servers/a', registration('10.0.0.1:80'))
    store.put('servers/b', registration('10.0.0.9:80'))
    store.put('servers/c', registration('10.0.0.2:80'))
    odd = store.items['servers/b']
    store.items['servers/b'] = (
        {**odd, **item} if isinstance(item, dict) else item
    )
    listing = await client.list_targets(may_lag=False)
    assert {'a', 'c'} <= set(listing.targets)


async def test_page_of_odd_items_does_not_end_the_list(store):
    client = PlatformStore(
        store.address, ConnPool(MonotonicClock()), EventLog('i', '1')
    )
    for number in range(MAX_PAGE_ITEMS + 1):
        store.put(f'servers/{number}', registration('10.0.0.1:80'))
        if number < MAX_PAGE_ITEMS:
            store.items[f'servers/{number}'] = 5
    with pytest.raises(SourceError):
        await client.list_targets(may_lag=False)


@pytest.mark.parametrize('name', ODD)
async def test_fleet_follows_the_list_beside_an_odd_entry(fleet, name, caplog):
    address = fleet.settings[1].target_address
    value = as_bytes(odd_entry(name, address))
    fleet.store.put('servers/odd', value)
    fleet.store.put('servers/t1', value)
    other = registration(fleet.settings[2].target_address, state='draining')
    fleet.store.put('servers/t2', other)
    await trio.sleep(2.5)
    seen = len(fleet.targets[2].executed)
    for number in range(3):
        answer, _ = await fleet.send(number, '/look/1')
        assert answer.status == 200
    assert len(fleet.targets[2].executed) == seen
    assert 'part-failed' not in caplog.text
    assert 'datagram-failed' not in caplog.text
