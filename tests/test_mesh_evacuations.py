"""Which zones are evacuated, and how daemons learn of it."""

import pytest
import trio
import trio.lowlevel
from tests.store_standin import StoreStandIn, configuration

from clementinedeal._events import EventLog
from clementinedeal._pool import ConnPool
from clementinedeal._timers import MonotonicClock, VirtualClock
from clementinedeal._verdict import Reason
from clementinedeal.mesh._allowed_zones import AllowedZones, ZoneRules
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._contracts import HistoryGoneError
from clementinedeal.mesh._declarations import RESTORE_SECONDS
from clementinedeal.mesh._evacuations import EvacuationTracker
from clementinedeal.mesh._types import (
    ClientAccount,
    Declaration,
    DeclarationUpdate,
    EvacuationChanges,
    Evacuations,
    Revision,
    RouteRule,
    Target,
    WeightedService,
)
from clementinedeal.platform import PlatformStore


def make_update(number, *, is_complete=False, era=1, **zones):
    """Return an answer that shows whether the named zones are evacuated."""
    return DeclarationUpdate(
        revision=Revision(era, number),
        evacuations=EvacuationChanges(zones=zones, is_complete=is_complete),
    )


def make_report(number, *zones, era=1):
    return Evacuations(revision=Revision(era, number), zones=frozenset(zones))


@pytest.fixture
def clock():
    return VirtualClock()


@pytest.fixture
def tracker(clock):
    """A tracker that has read that zone a was evacuated at revision 10."""
    tracker = EvacuationTracker(clock, EventLog('i', '1'))
    tracker.on_update(make_update(10, is_complete=True, a=True))
    return tracker


@pytest.mark.parametrize(
    ('answers', 'zones'),
    [
        ((), 'a'),
        ((make_update(11, b=True),), 'ab'),
        ((make_update(11, a=True), make_update(12, a=False)), ''),
        # the removal of a and the order for b were not watched
        ((make_update(20, is_complete=True, b=True),), 'b'),
        ((make_update(9, b=True),), 'a'),
        ((make_report(12, 'b'), make_update(11, c=True)), 'b'),
        ((make_report(12, 'b'), make_update(13, c=True)), 'bc'),
        ((make_report(9),), 'a'),
        ((make_report(12), make_report(11, 'b')), ''),
        ((DeclarationUpdate(revision=Revision(1, 12), changed=True),), 'a'),
    ],
)
def test_newest_revision_says_which_zones_are_evacuated(
    tracker, answers, zones
):
    for answer in answers:
        if isinstance(answer, DeclarationUpdate):
            tracker.on_update(answer)
        else:
            tracker.on_reported(answer)
    assert tracker.zones == set(zones)


def test_restored_source_may_lack_evacuations_for_a_while(tracker, clock):
    seen = []
    tracker.on_change.append(seen.append)
    tracker.on_update(make_update(5, era=2, is_complete=True, b=True))
    # a reader that has not noticed the restore
    tracker.on_reported(make_report(11))
    assert tracker.zones == {'a', 'b'}
    clock.advance(RESTORE_SECONDS)
    tracker.on_update(DeclarationUpdate(revision=Revision(2, 6)))
    assert seen == [{'a', 'b'}, {'b'}]


@pytest.mark.parametrize('has_evacuations', [False, True])
async def test_store_tells_orders_in_one_call(nursery, has_evacuations):
    store = StoreStandIn()
    await store.start(nursery)
    client = PlatformStore(
        store.address,
        ConnPool(MonotonicClock()),
        EventLog('i', '1'),
        has_evacuations=has_evacuations,
    )
    store.put('op/config', configuration(version=4))
    store.put('op/evacuate/a', b'\xff')
    shown = await client.read()
    assert shown.declaration.version == 4
    store.put('op/evacuate/b', {})
    store.put('op/evacuate/', {})
    store.delete('op/evacuate/a')
    await trio.lowlevel.checkpoint()
    change = await client.wait(shown.revision, 0.05)
    assert not change.changed
    queries = [query for _, query in store.calls]
    if not has_evacuations:
        assert shown.evacuations is change.evacuations is None
        assert [query.get('key') for query in queries] == ['op/config', None]
        assert queries[1]['prefix'] == 'op/config'
        return
    assert shown.evacuations.zones == {'a': True}
    assert change.evacuations.zones == {'b': True, 'a': False}
    assert [query['prefix'] for query in queries] == ['op/', 'op/']
    # more keys than a page holds, and a removal whose event is lost
    for zone in 'cdef':
        store.put(f'op/evacuate/{zone}', {})
    store.delete('op/evacuate/b')
    store.drop_history()
    with pytest.raises(HistoryGoneError):
        await client.wait(change.revision, 0.05)
    shown = await client.read()
    assert set(shown.evacuations.zones) == set('cdef')
    assert shown.evacuations.is_complete
    assert shown.declaration.version == 4


def make_route(*regions):
    return RouteRule(
        name='look',
        host='h',
        prefix='/',
        weighted_services=(WeightedService(service='till', weight=1),),
        idempotent=True,
        timeout=5,
        objective=2,
        priority=0,
        max_targets=2,
        public=False,
        allowed_regions=frozenset(regions),
    )


def make_account(*regions):
    return ClientAccount(
        name='shop',
        keys=(),
        priority=0,
        rate=0,
        burst=0,
        allowed_regions=frozenset(regions),
    )


@pytest.mark.parametrize(
    ('route', 'account', 'in_force', 'homes'),
    [
        (make_route(), make_account(), (make_route(), make_account()), None),
        (make_route('n'), make_account(), (make_route('n'),), 'ab'),
        (make_route('n'), None, (), 'ab'),
        (make_route('n', 's'), make_account('s'), (), 'c'),
        (make_route('n'), make_account('s'), (), ''),
        # regions withdrawn and added since the request was accepted
        (make_route('n', 's'), None, (make_route('s'),), 'c'),
        (make_route('s'), None, (make_route('n', 's'),), 'c'),
        (make_route(), make_account(), (make_account('n'),), 'ab'),
    ],
)
def test_regions_of_route_and_account_bind(
    tracker, route, account, in_force, homes
):
    declaration = Declaration(
        version=1,
        routes=tuple(one for one in in_force if isinstance(one, RouteRule)),
        services=frozenset(),
        accounts=tuple(
            one for one in in_force if isinstance(one, ClientAccount)
        ),
    )
    zone_regions = {'a': 'n', 'b': 'n', 'c': 's'}
    rules = ZoneRules(
        tracker, lambda: zone_regions, lambda: Catalog(declaration)
    )
    allowed = rules.find_allowed(route, account)
    assert allowed.homes == (homes if homes is None else set(homes))
    assert allowed.evacuated == {'a'}
    zone_regions = None
    assert rules.find_allowed(route, account).homes is None


@pytest.mark.parametrize(
    ('evacuated', 'homes', 'refusal'),
    [
        ('', None, None),
        ('a', None, None),
        ('ab', None, Reason.ZONE_EVACUATED),
        ('', 'b', None),
        ('b', 'b', Reason.ZONE_EVACUATED),
        ('a', 'c', Reason.NO_HOME),
        ('', '', Reason.NO_HOME),
    ],
)
def test_request_is_refused_if_no_zone_may_take_it(evacuated, homes, refusal):
    zones = AllowedZones(
        evacuated=frozenset(evacuated),
        homes=None if homes is None else frozenset(homes),
    )
    targets = [
        Target(name=zone, service='s', address='h:1', zone=zone, slots=1)
        for zone in 'ab'
    ]
    assert zones.find_refusal(targets) is refusal
    assert zones.find_refusal([]) is None
