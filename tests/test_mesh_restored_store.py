"""A store that comes back from a copy and gives out revisions again."""

from dataclasses import replace

import pytest
import trio
from result import Ok
from tests.mesh_fleet import run_daemon
from tests.store_standin import configuration, registration

from clementinedeal._events import EventLog
from clementinedeal._timers import VirtualClock
from clementinedeal.mesh._daemon import MeshDaemon
from clementinedeal.mesh._restores import ENTRY_LAPSE_SECONDS
from clementinedeal.mesh._target_feed import REREGISTRATION_SECONDS, TargetFeed
from clementinedeal.mesh._types import Listing, Revision, Target, TargetUpdate
from clementinedeal.platform import PlatformDialect, PlatformStore

CONFIG_SECONDS = 2
TARGET = Target(
    name='t0', service='s', address='h:1', zone='a', slots=7, started_ms=5
)
OTHER = replace(TARGET, name='t1', address='h1:1')


async def test_version_published_after_a_restore_is_in_force_in_time(fleet):
    copy = fleet.store.copy()
    for version in (2, 3, 4):
        fleet.store.put('op/config', configuration(version))
    await trio.sleep(0.3)
    fleet.store.restore(copy)
    await trio.sleep(0.5)
    fleet.store.put('op/config', configuration(5, api_keys=['key-2']))
    await trio.sleep(CONFIG_SECONDS)
    for number in range(3):
        answer, _ = await fleet.send(number, '/look/1')
        assert answer.status == 401


async def test_key_withdrawn_in_the_lost_part_stays_withdrawn(fleet):
    copy = fleet.store.copy()
    fleet.store.put('op/config', configuration(2, api_keys=['key-2']))
    await trio.sleep(0.5)
    fleet.store.restore(copy)
    for _ in range(15):
        for number in range(3):
            answer, _ = await fleet.send(number, '/look/1')
            assert answer.status == 401
        await trio.sleep(0.2)


async def test_target_that_left_before_a_restore_stays_unused(fleet):
    copy = fleet.store.copy()
    address = fleet.settings[1].target_address
    fleet.store.put('servers/t1', registration(address, state='draining'))
    await trio.sleep(2)
    fleet.store.restore(copy)
    for version in (2, 3):
        fleet.store.put('op/config', configuration(version))
    seen = len(fleet.targets[1].executed)
    for _ in range(20):
        for number in range(3):
            await fleet.send(number, '/look/1')
        await trio.sleep(0.1)
    assert len(fleet.targets[1].executed) == seen


async def test_daemon_started_after_a_restore_has_the_newest_version_known(
    fleet, nursery
):
    copy = fleet.store.copy()
    fleet.store.put('op/config', configuration(2, api_keys=['key-2']))
    await trio.sleep(0.5)
    fleet.daemons[2].stop()
    await fleet.ended[2].wait()
    fleet.store.restore(copy)
    settings = fleet.settings[2]
    daemon = MeshDaemon(
        settings, lambda: Ok(settings), PlatformStore, PlatformDialect()
    )
    nursery.start_soon(run_daemon, daemon, trio.Event())
    await trio.sleep(CONFIG_SECONDS)
    for _ in range(10):
        answer, _ = await fleet.send(2, '/open/1', key='')
        assert answer.status == 200
        answer, _ = await fleet.send(2, '/look/1')
        assert answer.status == 401
        await trio.sleep(0.1)
    fleet.store.put('op/config', configuration(2, api_keys=['key-2']))
    await trio.sleep(CONFIG_SECONDS)
    answer, _ = await fleet.send(2, '/look/1', key='key-2')
    assert answer.status == 200


class Registry:
    """Shows one entry of the own target."""

    def __init__(self):
        self.target = None

    async def read_target(self, name):
        await trio.lowlevel.checkpoint()
        return TargetUpdate(revision=Revision(2, 3), target=self.target)


class Recorder:
    """Stands in for owner and balancer; keeps what it was given last."""

    target = None
    targets = ()

    def set_target(self, target):
        self.target = target

    def set_targets(self, targets):
        self.targets = sorted(targets, key=lambda one: one.name)


class Parts:
    """A feed that has listed two targets in era 1."""

    def __init__(self):
        self.clock = VirtualClock(100)
        self.registry = Registry()
        self.shown = Recorder()
        self.feed = TargetFeed(
            self.registry,
            self.shown,
            self.shown,
            self.clock,
            EventLog('i', '1'),
        )
        self.list_targets(1, 30, TARGET, OTHER)
        self.feed.on_own_reported(TARGET, 100, 1)

    def list_targets(self, era, number, *targets):
        listing = Listing(
            revision=Revision(era, number),
            targets={one.name: one for one in targets},
        )
        self.feed._apply_listing(listing, TARGET.address)


@pytest.fixture
def parts():
    return Parts()


def test_list_of_a_new_era_is_taken_although_its_revision_is_lower(parts):
    parts.clock.advance(1)
    parts.list_targets(2, 20, replace(OTHER, slots=3))
    assert parts.shown.targets == [TARGET, replace(OTHER, slots=3)]
    parts.clock.advance(REREGISTRATION_SECONDS)
    parts.list_targets(2, 21, OTHER)
    assert parts.shown.targets == [OTHER]


def test_late_list_of_an_older_era_is_ignored(parts):
    parts.list_targets(2, 20, TARGET)
    parts.list_targets(1, 31, TARGET, replace(OTHER, slots=3))
    assert parts.shown.targets == [TARGET, OTHER]


def test_listed_target_that_drains_stays_so_for_its_process(parts):
    parts.list_targets(1, 31, TARGET, replace(OTHER, draining=True))
    parts.list_targets(2, 20, TARGET, OTHER)
    assert parts.shown.targets[1].draining
    parts.list_targets(2, 21, TARGET, replace(OTHER, started_ms=6))
    assert not parts.shown.targets[1].draining


def test_own_target_that_drains_stays_so_when_a_reader_knows_less(parts):
    leaving = replace(TARGET, draining=True)
    parts.feed.on_own_reported(leaving, 101, 1)
    parts.feed.on_own_reported(TARGET, 102, 2)
    assert parts.shown.target == leaving


@pytest.mark.parametrize('is_alive', [True, False])
async def test_removed_target_that_a_restore_brings_back_is_not_used(
    parts, is_alive, autojump_clock
):
    await parts.feed._update_own(TARGET.name, None)
    assert parts.shown.target is None
    parts.feed.on_own_reported(TARGET, 103, 2)
    assert parts.shown.target is None
    parts.registry.target = TARGET if is_alive else None
    parts.clock.advance(0.1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(parts.feed._update_own, TARGET.name, TARGET)
        await trio.sleep(1)
        assert parts.shown.target is None
        parts.clock.advance(ENTRY_LAPSE_SECONDS)
    assert parts.shown.target == (TARGET if is_alive else None)


async def test_target_that_lapsed_in_a_cut_is_used_again_at_once(parts):
    await parts.feed._update_own(TARGET.name, None)
    parts.feed.on_own_reported(TARGET, 103, 1)
    assert parts.shown.target == TARGET


OLDER = replace(TARGET, started_ms=4)
OLDER_OTHER = replace(OTHER, started_ms=4)


def test_older_process_that_a_restore_brings_back_ends_no_drain(parts):
    leaving, other = (replace(one, draining=True) for one in (TARGET, OTHER))
    parts.feed.on_own_reported(leaving, 101, 1)
    parts.list_targets(1, 31, leaving, other)
    parts.list_targets(2, 20, OLDER, OLDER_OTHER)
    parts.feed.on_own_reported(OLDER, 102, 2)
    assert parts.shown.targets == [leaving, other]
    assert parts.shown.target == leaving


async def test_own_watch_passes_over_an_older_process(parts):
    parts.feed.on_own_reported(TARGET, 101, 2)
    await parts.feed._update_own(TARGET.name, OLDER)
    assert parts.shown.target == TARGET
    parts.clock.advance(ENTRY_LAPSE_SECONDS)
    await parts.feed._update_own(TARGET.name, OLDER)
    assert parts.shown.target == OLDER


@pytest.mark.parametrize('is_restored', [True, False])
def test_lower_start_is_believed_unless_a_restore_explains_it(
    parts, is_restored
):
    parts.list_targets(1 + is_restored, 32, TARGET, OLDER_OTHER)
    assert parts.shown.targets[1] == (OTHER if is_restored else OLDER_OTHER)
    parts.clock.advance(ENTRY_LAPSE_SECONDS)
    parts.list_targets(1 + is_restored, 33, TARGET, OLDER_OTHER)
    assert parts.shown.targets[1] == OLDER_OTHER


def test_target_that_drained_and_vanished_comes_back_draining(parts):
    leaving = replace(OTHER, draining=True)
    parts.list_targets(1, 31, TARGET, leaving)
    parts.list_targets(1, 32, TARGET)
    assert parts.shown.targets == [TARGET]
    parts.list_targets(2, 20, TARGET, OTHER)
    assert parts.shown.targets == [TARGET, leaving]


async def test_older_process_at_the_address_of_a_removed_one_is_not_used(
    parts, autojump_clock
):
    await parts.feed._update_own(TARGET.name, None)
    parts.list_targets(2, 20, OLDER)
    parts.feed.on_own_reported(OLDER, 103, 2)
    assert parts.shown.target is None
