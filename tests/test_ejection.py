"""Ejection and reinstatement of targets by managers without faults."""

import dataclasses

import pytest

from clementinedeal._ejection import EjectionManager
from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._permits import LEASE_SECONDS, SETTLE_SECONDS, holder_of
from clementinedeal._target_health import Cause, OutcomeKind, RequestOutcome
from clementinedeal._target_state import (
    TargetEjected,
    TargetReinstated,
    TargetState,
)
from test_permits import make_config

SIZE = 8
# Interval of the requests to each target.
STEP_SECONDS = 1 / 13
CFG = make_config(1, 6, frozenset(range(SIZE)))
HOLDER = int((holder_of(CFG, 's') or 'i0')[1:])
FAULTY = (HOLDER + 1) % SIZE


class Deployment:
    """Managers that exchange messages without delay, with steady traffic."""

    def __init__(self, cfg: Config = CFG) -> None:
        self.now = 100.0
        self.failing: set[int] = set()
        self.unreachable: set[int] = set()
        self.changes: list[TargetEjected | TargetReinstated] = []
        self.managers = [
            EjectionManager(f'i{n}', cfg, self.now, incarnation=n)
            for n in range(SIZE)
        ]
        self.set_fresh(True)
        self.run(SETTLE_SECONDS + 1)

    def set_fresh(self, fresh: bool) -> None:
        for manager in self.managers:
            manager.set_fresh(fresh, self.now)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for number, manager in enumerate(self.managers):
                if number not in self.unreachable:
                    self.serve(number, manager)

    def serve(self, number: int, manager: EjectionManager) -> None:
        self.deliver(number, manager.on_tick(self.now))
        failing = number in self.failing
        kind = OutcomeKind.ERROR if failing else OutcomeKind.OK
        if manager.usable_fraction(f't{number}', self.now):
            outcome = RequestOutcome(kind, 0.02)
            self.deliver(
                number, manager.on_outcome(f't{number}', outcome, self.now)
            )

    def deliver(self, sender: int, actions: list) -> None:
        for action in actions:
            if not isinstance(action, Send):
                self.changes.append(action)
                continue
            number = int(action.to[1:])
            if number not in self.unreachable:
                manager = self.managers[number]
                body = action.body
                actions = manager.on_message(f'i{sender}', body, self.now)
                self.deliver(number, actions)

    def state(self, number: int) -> TargetState:
        return self.managers[number].state(f't{number}')


@pytest.fixture
def fleet() -> Deployment:
    return Deployment()


@pytest.fixture
def ejected(fleet: Deployment) -> Deployment:
    fleet.failing = {FAULTY}
    fleet.run(1.0)
    assert fleet.changes == [TargetEjected(f't{FAULTY}', Cause.FAILING)]
    assert fleet.state(FAULTY) is TargetState.EJECTED
    fleet.changes.clear()
    return fleet


def test_a_recovered_target_returns_by_trial_and_slow_start(
    ejected: Deployment,
) -> None:
    manager = ejected.managers[FAULTY]
    ejected.run(3.0)
    assert manager.usable_fraction(f't{FAULTY}', ejected.now) == 0
    ejected.failing.clear()
    fractions = []
    for _ in range(30):
        ejected.run(1.0)
        fractions.append(manager.usable_fraction(f't{FAULTY}', ejected.now))
    assert ejected.changes == [TargetReinstated(f't{FAULTY}')]
    assert fractions == sorted(fractions)
    assert any(0 < fraction < 1 for fraction in fractions)
    assert ejected.state(FAULTY) is TargetState.IN_USE


def test_a_target_that_fails_its_trial_stays_ejected(
    ejected: Deployment,
) -> None:
    ejected.run(120.0)
    assert ejected.changes == []


def test_no_more_targets_are_ejected_than_the_floor_allows(
    fleet: Deployment,
) -> None:
    fleet.failing = {1, 2, 3}
    for _ in range(60):
        fleet.run(1.0)
        states = [fleet.state(number) for number in range(SIZE)]
        out = {TargetState.EJECTED, TargetState.TRIAL}
        assert sum(state in out for state in states) <= SIZE - 6


def test_targets_that_all_fail_alike_are_not_ejected(fleet: Deployment) -> None:
    fleet.failing = set(range(SIZE))
    fleet.run(10.0)
    fleet.changes.clear()
    fleet.run(60.0)
    ejections = [
        change for change in fleet.changes if isinstance(change, TargetEjected)
    ]
    assert ejections == []


def test_a_lost_holder_means_reinstatement_within_the_lease(
    ejected: Deployment,
) -> None:
    ejected.unreachable = {HOLDER}
    ejected.run(LEASE_SECONDS + 2 * STEP_SECONDS)
    assert ejected.changes == [TargetReinstated(f't{FAULTY}')]


def test_a_view_not_fresh_means_reinstatement_within_the_lease(
    ejected: Deployment,
) -> None:
    ejected.set_fresh(False)
    ejected.run(LEASE_SECONDS + 2 * STEP_SECONDS)
    assert ejected.changes == [TargetReinstated(f't{FAULTY}')]
    ejected.run(10.0)
    assert len(ejected.changes) == 1


def test_a_preset_without_ejection_reinstates_at_once(
    ejected: Deployment,
) -> None:
    preset = dataclasses.replace(CFG.active_preset, ejection=False)
    cfg = dataclasses.replace(CFG, presets={preset.name: preset})
    actions = ejected.managers[FAULTY].on_config(cfg, ejected.now)
    assert actions == [TargetReinstated(f't{FAULTY}')]


def test_a_target_published_with_a_new_address_is_in_use(
    ejected: Deployment,
) -> None:
    name = f't{FAULTY}'
    moved = dataclasses.replace(CFG.targets[name], address='127.0.0.1:9')
    cfg = dataclasses.replace(CFG, targets={**CFG.targets, name: moved})
    actions = ejected.managers[FAULTY].on_config(cfg, ejected.now)
    assert actions == [TargetReinstated(name)]
    assert ejected.state(FAULTY) is TargetState.IN_USE


def test_a_pause_drops_the_permit_and_the_evidence(ejected: Deployment) -> None:
    actions = ejected.managers[FAULTY].on_pause(2.0, ejected.now + 2)
    assert actions == [TargetReinstated(f't{FAULTY}')]
    assert ejected.state(FAULTY) is TargetState.IN_USE


def test_a_draining_target_gets_no_work(fleet: Deployment) -> None:
    manager = fleet.managers[FAULTY]
    (send,) = manager.on_leaving(f't{FAULTY}', fleet.now)
    assert isinstance(send, Send)
    assert send.body.leaving
    assert manager.state(f't{FAULTY}') is TargetState.LEAVING
    assert manager.usable_fraction(f't{FAULTY}', fleet.now) == 0


@pytest.mark.parametrize('fresh', [True, False])
def test_an_unhealthy_target_reports_at_most_five_times_a_second(
    fresh: bool,
) -> None:
    fleet = Deployment()
    fleet.set_fresh(fresh)
    fleet.managers[HOLDER].set_fresh(False, fleet.now)
    manager = fleet.managers[FAULTY]
    outcome = RequestOutcome(OutcomeKind.ERROR, 0.001)
    sends = []
    for number in range(1000):
        now = fleet.now + number / 1000
        sends += manager.on_outcome(f't{FAULTY}', outcome, now)
    assert 1 <= len(sends) <= 5


def test_a_restarted_target_starts_slowly(fleet: Deployment) -> None:
    manager = fleet.managers[FAULTY]
    assert manager.on_restarted(f't{FAULTY}', fleet.now) == []
    assert 0 < manager.usable_fraction(f't{FAULTY}', fleet.now) < 0.5
    fleet.run(12.0)
    assert manager.usable_fraction(f't{FAULTY}', fleet.now) == 1


def test_a_flapping_target_stays_ejected_longer_each_time(
    fleet: Deployment,
) -> None:
    ejected_seconds = []
    for _ in range(3):
        fleet.failing = {FAULTY}
        fleet.run(2.0)
        assert fleet.state(FAULTY) is TargetState.EJECTED
        fleet.failing = set()
        began = fleet.now
        while fleet.state(FAULTY) is not TargetState.IN_USE:
            fleet.run(1.0)
        ejected_seconds.append(fleet.now - began)
    assert ejected_seconds[0] < ejected_seconds[1] < ejected_seconds[2]
