"""Which configuration version each daemon has in force, and if it is fresh."""

from dataclasses import replace

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from clementinedeal import _view_state
from clementinedeal._freshness import FRESH_SECONDS
from clementinedeal._parts import Section, digest_of
from clementinedeal._publication import Publication, pack, read_root
from clementinedeal._read_schedule import REREAD_INTERVAL_SECONDS, reader_order
from clementinedeal._version_ages import VersionAges
from clementinedeal._view_actions import InstanceList
from clementinedeal._view_messages import Announcement, VersionRef, ViewRequest
from clementinedeal_bench._large_config import large_config
from clementinedeal_bench._virtual_fleet import VirtualFleet

DAEMON_COUNT = 8
# A published version is in force at all daemons within this time.
IN_FORCE_SECONDS = 7.0
# A daemon that starts is fresh within this time.
START_SECONDS = 20.0
# Interval of the checks while virtual time passes.
CHECK_SECONDS = 0.5
CFG = large_config(
    accounts=3, routes=2, targets=DAEMON_COUNT, instances=DAEMON_COUNT
)
NAMES = sorted(CFG.instances)

instance_names = st.sampled_from(NAMES)


@pytest.fixture(autouse=True)
def _few_readers(monkeypatch):
    monkeypatch.setattr(_view_state, 'READER_COUNT', 3)


def publication(version, *, valid=True):
    """Return a version; an invalid one lacks the services it refers to."""
    services = CFG.services if valid else {}
    return pack(replace(CFG, version=version, services=services)).unwrap()


def started_fleet(seed=0, replicas=1):
    """Return a fleet in which all daemons have version 1 in force."""
    fleet = VirtualFleet(CFG, seed, replicas)
    fleet.platform.publish(publication(1))
    fleet.network.min_delay_seconds = fleet.network.max_delay_seconds = 0.9
    for name in NAMES:
        fleet.stop(name)
        fleet.run(START_SECONDS)
        fleet.start(name)
    fleet.run(START_SECONDS)
    assert versions(fleet) == {1}
    return fleet


def versions(fleet, names=NAMES):
    views = [fleet.processes[name].view for name in names]
    return {view.config.version if view.config else 0 for view in views}


def fresh_names(fleet, names=NAMES):
    return [
        name for name in names if fleet.processes[name].view.is_fresh(fleet.now)
    ]


def isolate(fleet, side):
    """Disconnect daemons from the other daemons and from the platform."""
    fleet.network.cut_links = {
        (a, b) for a in NAMES for b in NAMES if (a in side) != (b in side)
    }
    fleet.platform.unreachable_daemons = set(side)


class FleetMachine(RuleBasedStateMachine):
    """Faults in any order; the invariant is checked twice a second."""

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.fleet = started_fleet(seed, replicas=2)
        self.version = 1
        self.newest = 1
        self.published_at = 0.0
        self.platform_whole_since = 0.0
        self.isolated = {}
        self.last = {}

    @rule(valid=st.booleans())
    def publish(self, valid):
        self.version += 1
        self.fleet.platform.publish(publication(self.version, valid=valid))
        if valid:
            self.newest = self.version
            self.published_at = self.fleet.now

    @rule(side=st.sets(instance_names, min_size=1, max_size=DAEMON_COUNT // 2))
    def split_off(self, side):
        isolate(self.fleet, side)
        self.isolated = dict.fromkeys(side, self.fleet.now)

    @rule(
        pairs=st.sets(st.tuples(instance_names, instance_names)),
        cut_off=st.sets(instance_names),
    )
    def cut_links(self, pairs, cut_off):
        self.fleet.network.cut_links = pairs
        self.fleet.platform.unreachable_daemons = cut_off
        self.isolated = {}

    @rule(loss=st.sampled_from([0.0, 0.05, 0.5]), delay=st.floats(0.01, 3))
    def set_faults(self, loss, delay):
        self.fleet.network.loss_fraction = loss
        self.fleet.network.duplicate_fraction = loss
        self.fleet.network.max_delay_seconds = delay

    @rule(is_up=st.booleans())
    def switch_platform(self, is_up):
        self.fleet.platform.is_up = is_up

    @rule(replica=st.integers(0, 1))
    def freeze(self, replica):
        self.fleet.platform.make_stale(replica)

    @rule(name=instance_names, seconds=st.floats(0.6, 15))
    def pause(self, name, seconds):
        self.fleet.pause(name)
        self.run(seconds)
        self.fleet.resume(name)

    @rule(name=instance_names)
    def restart(self, name):
        self.fleet.start(name)

    @rule(seconds=st.floats(0.1, 15))
    def run(self, seconds):
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            if not self.platform_is_whole():
                self.platform_whole_since = self.fleet.now + CHECK_SECONDS
            self.fleet.run(CHECK_SECONDS)
            self.check()

    @rule()
    def heal(self):
        network = self.fleet.network
        network.cut_links, self.fleet.platform.unreachable_daemons = (
            set(),
            set(),
        )
        network.loss_fraction, network.max_delay_seconds = 0.05, 0.01
        self.fleet.platform.bring_up_to_date()
        self.fleet.platform.is_up = True
        self.isolated = {}

    @precondition(lambda self: self.fleet.now > START_SECONDS)
    @rule(name=instance_names)
    def publish_when_healed(self, name):
        self.heal()
        self.run(START_SECONDS)
        # A rejected version may have replaced one before any daemon read it.
        if self.version == self.newest:
            assert versions(self.fleet) == {self.newest}
        assert len(versions(self.fleet)) == 1
        self.publish(valid=True)
        self.run(IN_FORCE_SECONDS)
        assert versions(self.fleet) == {self.newest}
        assert fresh_names(self.fleet) == NAMES
        self.fleet.platform.make_stale(0)
        self.fleet.platform.make_stale(1)
        self.fleet.start(name)
        self.run(START_SECONDS)
        assert self.fleet.processes[name].versions_in_force == [self.newest]

    def platform_is_whole(self):
        platform = self.fleet.platform
        unreachable = platform.unreachable_daemons
        return (
            platform.is_up and not platform.stale_replicas and not unreachable
        )

    @invariant()
    def check(self):
        now = self.fleet.now
        for name, process in self.fleet.processes.items():
            assert process.versions_in_force == sorted(
                set(process.versions_in_force)
            )
            if process.is_paused or not process.view.is_fresh(now):
                continue
            since = self.isolated.get(name, now)
            assert now - since <= FRESH_SECONDS, f'{name} is cut off'
            since = max(self.published_at, self.platform_whole_since)
            # While the newest version is invalid, the platform shows no other.
            is_shown = self.version == self.newest
            if is_shown and now - since > FRESH_SECONDS:
                assert process.view.config.version == self.newest


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(max_examples=25, stateful_step_count=20)


@pytest.mark.parametrize('size', [1, 3, 4])
def test_side_without_majority_or_platform_is_not_fresh(size):
    fleet = started_fleet()
    fleet.network.min_delay_seconds = fleet.network.max_delay_seconds = 0.9
    fleet.run(FRESH_SECONDS)
    isolate(fleet, NAMES[:size])
    fleet.run(FRESH_SECONDS)
    assert not fresh_names(fleet, NAMES[:size])
    assert fresh_names(fleet, NAMES[size:]) == NAMES[size:]


def test_even_halves_without_platform_are_not_fresh():
    fleet = started_fleet()
    fleet.platform.is_up = False
    isolate(fleet, NAMES[: DAEMON_COUNT // 2])
    fleet.run(2 * FRESH_SECONDS)
    assert not fresh_names(fleet)


def test_majority_without_platform_stays_fresh():
    fleet = started_fleet()
    side = NAMES[3:]
    isolate(fleet, side)
    fleet.platform.publish(publication(2))
    fleet.run(2 * FRESH_SECONDS)
    assert versions(fleet, side) == {1}
    assert fresh_names(fleet, side) == side
    assert versions(fleet, NAMES[:3]) == {2}
    assert fresh_names(fleet) == NAMES


def test_platform_outage_of_an_hour_keeps_all_fresh():
    fleet = started_fleet()
    fleet.network.loss_fraction = 0.05
    fleet.platform.is_up = False
    for _ in range(60):
        fleet.run(60)
        assert fresh_names(fleet) == NAMES
    fleet.start(NAMES[0])
    fleet.run(START_SECONDS)
    assert versions(fleet) == {1}
    assert fresh_names(fleet) == NAMES


def test_lost_announcements_are_repaired_by_pulls():
    fleet = started_fleet()
    cut_off = NAMES[0]
    fleet.network.cut_links = {(name, cut_off) for name in NAMES[1:]}
    fleet.platform.unreachable_daemons = {cut_off}
    fleet.platform.publish(publication(2))
    fleet.run(1)
    assert versions(fleet, [cut_off]) == {1}
    fleet.network.cut_links = set()
    fleet.run(IN_FORCE_SECONDS)
    assert versions(fleet) == {2}


def test_version_number_published_twice_is_reported_and_not_applied():
    fleet = started_fleet()
    other = pack(replace(CFG, accounts={})).unwrap()
    fleet.platform.publish(other)
    fleet.start(NAMES[0])
    fleet.run(2 * REREAD_INTERVAL_SECONDS)
    assert all(
        process.versions_in_force == [1] for process in fleet.processes.values()
    )
    assert any(process.rejected for process in fleet.processes.values())


def test_stopping_and_listed_instances_are_leaving_everywhere():
    fleet = started_fleet()
    leaver, listed, dead = NAMES[:3]
    fleet.call_view(leaver, fleet.processes[leaver].view.stop)
    fleet.platform.instance_list = InstanceList(
        live=frozenset(NAMES),
        leaving=frozenset([listed]),
    )
    fleet.stop(dead)
    fleet.run(IN_FORCE_SECONDS + FRESH_SECONDS)
    for name in NAMES[3:]:
        view = fleet.processes[name].view
        assert view.is_leaving(leaver)
        assert view.is_leaving(listed)
        assert not view.is_alive(dead, fleet.now)
        assert view.is_alive(leaver, fleet.now)
    fleet.start(leaver)
    fleet.run(START_SECONDS)
    current = fleet.processes[leaver].view.incarnation(leaver)
    for name in NAMES[3:]:
        view = fleet.processes[name].view
        assert not view.is_leaving(leaver)
        assert view.incarnation(leaver) == current


def test_a_restarted_daemon_learns_for_how_long_the_version_is_known() -> None:
    ages = VersionAges()
    old = VersionRef(1, 'a')
    new = VersionRef(2, 'b')
    ages.note_published(old, 0)
    ages.note_published(new, 50)
    ages.note_published(old, 10)
    ages.note_published(new, 40)
    assert ages.age_seconds(new, 60) == 20
    assert ages.age_seconds(old, 60) == 0
    assert ages.age_seconds(None, 60) == 0


def test_readers_cut_from_the_platform_do_not_hold_up_a_version():
    fleet = started_fleet()
    readers = reader_order(CFG.instances)[:3]
    fleet.platform.unreachable_daemons = set(readers)
    fleet.run(FRESH_SECONDS)
    fleet.platform.publish(publication(2))
    fleet.run(FRESH_SECONDS)
    assert versions(fleet) == {2}


def test_paused_daemon_rejoins_as_new_incarnation_and_is_not_yet_fresh():
    fleet = started_fleet()
    name, peer = NAMES[:2]
    before = fleet.processes[name].view.incarnation(name)
    fleet.pause(name)
    fleet.run(1)
    fleet.network.cut_links = {(peer, name) for peer in NAMES}
    fleet.platform.unreachable_daemons = {name}
    fleet.resume(name)
    assert fresh_names(fleet, [name]) == []
    fleet.network.cut_links, fleet.platform.unreachable_daemons = set(), set()
    fleet.run(IN_FORCE_SECONDS)
    assert fresh_names(fleet) == NAMES
    after = fleet.processes[name].view.incarnation(name)
    assert before != after == fleet.processes[peer].view.incarnation(name)


def test_daemon_that_cannot_get_an_announced_version_loses_freshness():
    fleet = started_fleet()
    name = NAMES[0]
    fleet.platform.unreachable_daemons = set(NAMES)
    view = fleet.processes[name].view
    for _ in range(int(2 * FRESH_SECONDS)):
        view.on_message(NAMES[1], Announcement(VersionRef(2, 'd')), fleet.now)
        fleet.run(1)
    assert fresh_names(fleet, [name]) == []


@pytest.mark.parametrize('seed', range(5))
def test_rejected_version_does_not_hide_the_one_before(seed):
    fleet = started_fleet(seed)
    fleet.network.max_delay_seconds = 2.9
    fleet.platform.publish(publication(2))
    fleet.platform.publish(publication(3, valid=False))
    fleet.run(3 * FRESH_SECONDS)
    assert versions(fleet) == {2}


def test_rejected_version_does_not_replace_one_in_force_elsewhere():
    fleet = started_fleet()
    fleet.platform.publish(publication(3, valid=False))
    fleet.run(IN_FORCE_SECONDS)
    view = fleet.processes[NAMES[0]].view
    held = VersionRef(2, 'd')
    request = ViewRequest(nonce=1, control='', held=held, full=False)
    view.on_message(NAMES[1], request, fleet.now)
    fleet.run(FRESH_SECONDS - CHECK_SECONDS)
    assert view.is_fresh(fleet.now)
    fleet.run(2 * CHECK_SECONDS)
    assert not view.is_fresh(fleet.now)


@pytest.mark.parametrize('fault', ['malformed', 'none'])
def test_restart_under_a_version_with_unusable_instances(fault):
    fleet = started_fleet()
    cfg = replace(CFG, version=2, instances={})
    faulty = pack(cfg).unwrap()
    if fault == 'malformed':
        junk = b'junk'
        root = read_root(faulty.root).unwrap()
        parts = {**root.parts, Section.INSTANCES: (digest_of(junk),)}
        blob = msgspec.msgpack.encode(replace(root, parts=parts))
        parts = {**faulty.parts, digest_of(junk): junk}
        faulty = Publication(root=blob, parts=parts)
    fleet.platform.unreachable_daemons = set(NAMES[1:])
    fleet.platform.publish(faulty)
    fleet.network.cut_links = {(name, NAMES[0]) for name in NAMES}
    fleet.start(NAMES[0])
    fleet.run(FRESH_SECONDS)
    assert versions(fleet, NAMES[:1]) == {0}
    fleet.network.cut_links = set()
    fleet.run(2 * START_SECONDS)
    assert versions(fleet) == {1}
    assert NAMES[0] in fresh_names(fleet)
    fleet.platform.unreachable_daemons = set()
    fleet.run(FRESH_SECONDS)
    assert fresh_names(fleet) == NAMES


def test_restart_does_not_restore_an_older_version_of_a_stale_platform():
    fleet = started_fleet()
    fleet.platform.publish(publication(2))
    fleet.run(IN_FORCE_SECONDS)
    fleet.platform.publish(publication(1))
    fleet.network.min_delay_seconds = fleet.network.max_delay_seconds = 0.9
    for name in NAMES:
        fleet.stop(name)
        fleet.run(START_SECONDS)
        fleet.start(name)
        fleet.run(START_SECONDS)
        assert fleet.processes[name].versions_in_force == [2]
    assert versions(fleet) == {2}
    assert fresh_names(fleet) == NAMES
