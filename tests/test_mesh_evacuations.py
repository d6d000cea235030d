"""Which zones are evacuated, and how daemons learn of it."""

import pytest
import trio
import trio.lowlevel
from tests.store_standin import StoreStandIn, configuration

from clementinedeal._events import EventLog
from clementinedeal._pool import ConnPool
from clementinedeal._timers import MonotonicClock, VirtualClock
from clementinedeal.mesh._contracts import HistoryGoneError
from clementinedeal.mesh._declarations import RESTORE_SECONDS
from clementinedeal.mesh._evacuations import EvacuationTracker
from clementinedeal.mesh._types import (
    DeclarationUpdate,
    EvacuationChanges,
    Evacuations,
    Revision,
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
