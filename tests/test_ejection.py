import dataclasses

import pytest

from clementinedeal._ejection import EjectionManager
from clementinedeal._health import Cause, Outcome, OutcomeKind
from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._permits import LEASE_SECONDS, SETTLE_SECONDS, holder_of
from clementinedeal._target_state import (
    TargetEjected,
    TargetReinstated,
    TargetState,
)
from test_permits import make_config

SIZE = 8
GAP_SECONDS = 1 / 13
CFG = make_config(1, 6, frozenset(range(SIZE)))
HOLDER = int((holder_of(CFG, 's') or 'i0')[1:])
SICK = (HOLDER + 1) % SIZE


class Deployment:
    """Managers that hear each other at once, with steady traffic."""

    def __init__(self, cfg: Config = CFG) -> None:
        self.now = 100.0
        self.failing: set[int] = set()
        self.lost: set[int] = set()
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
            self.now += GAP_SECONDS
            for number, manager in enumerate(self.managers):
                if number not in self.lost:
                    self.serve(number, manager)

    def serve(self, number: int, manager: EjectionManager) -> None:
        self.carry(number, manager.on_tick(self.now))
        failing = number in self.failing
        kind = OutcomeKind.ERROR if failing else OutcomeKind.OK
        if manager.share(f't{number}', self.now):
            outcome = Outcome(kind, 0.02)
            self.carry(
                number, manager.on_outcome(f't{number}', outcome, self.now)
            )

    def carry(self, sender: int, actions: list) -> None:
        for action in actions:
            if not isinstance(action, Send):
                self.changes.append(action)
                continue
            number = int(action.to[1:])
            if number not in self.lost:
                manager = self.managers[number]
                body = action.body
                actions = manager.on_message(f'i{sender}', body, self.now)
                self.carry(number, actions)

    def state(self, number: int) -> TargetState:
        return self.managers[number].state(f't{number}')


@pytest.fixture
def fleet() -> Deployment:
    return Deployment()


@pytest.fixture
def ejected(fleet: Deployment) -> Deployment:
    fleet.failing = {SICK}
    fleet.run(1.0)
    assert fleet.changes == [TargetEjected(f't{SICK}', Cause.FAILING)]
    assert fleet.state(SICK) is TargetState.EJECTED
    fleet.changes.clear()
    return fleet


def test_a_cured_target_returns_by_trial_and_slow_start(
    ejected: Deployment,
) -> None:
    manager = ejected.managers[SICK]
    ejected.run(3.0)
    assert manager.share(f't{SICK}', ejected.now) == 0
    ejected.failing.clear()
    shares = []
    for _ in range(30):
        ejected.run(1.0)
        shares.append(manager.share(f't{SICK}', ejected.now))
    assert ejected.changes == [TargetReinstated(f't{SICK}')]
    assert shares == sorted(shares)
    assert any(0 < share < 1 for share in shares)
    assert ejected.state(SICK) is TargetState.IN_USE


def test_a_target_that_fails_its_trial_stays_out(ejected: Deployment) -> None:
    ejected.run(120.0)
    assert ejected.changes == []


def test_no_more_are_out_than_the_floor_allows(fleet: Deployment) -> None:
    fleet.failing = {1, 2, 3}
    for _ in range(60):
        fleet.run(1.0)
        states = [fleet.state(number) for number in range(SIZE)]
        out = {TargetState.EJECTED, TargetState.TRIAL}
        assert sum(state in out for state in states) <= SIZE - 6


def test_all_failing_alike_are_not_ejected(fleet: Deployment) -> None:
    fleet.failing = set(range(SIZE))
    fleet.run(10.0)
    fleet.changes.clear()
    fleet.run(60.0)
    ejections = [one for one in fleet.changes if isinstance(one, TargetEjected)]
    assert ejections == []


def test_a_lost_holder_means_reinstatement_within_the_lease(
    ejected: Deployment,
) -> None:
    ejected.lost = {HOLDER}
    ejected.run(LEASE_SECONDS + 2 * GAP_SECONDS)
    assert ejected.changes == [TargetReinstated(f't{SICK}')]


def test_a_view_not_fresh_means_reinstatement_within_the_lease(
    ejected: Deployment,
) -> None:
    ejected.set_fresh(False)
    ejected.run(LEASE_SECONDS + 2 * GAP_SECONDS)
    assert ejected.changes == [TargetReinstated(f't{SICK}')]
    ejected.run(10.0)
    assert len(ejected.changes) == 1


def test_a_preset_without_ejection_reinstates_at_once(
    ejected: Deployment,
) -> None:
    preset = dataclasses.replace(CFG.active, ejection=False)
    cfg = dataclasses.replace(CFG, presets={preset.name: preset})
    actions = ejected.managers[SICK].on_config(cfg, ejected.now)
    assert actions == [TargetReinstated(f't{SICK}')]


def test_a_target_published_anew_is_in_use(ejected: Deployment) -> None:
    name = f't{SICK}'
    moved = dataclasses.replace(CFG.targets[name], address='127.0.0.1:9')
    cfg = dataclasses.replace(CFG, targets={**CFG.targets, name: moved})
    actions = ejected.managers[SICK].on_config(cfg, ejected.now)
    assert actions == [TargetReinstated(name)]
    assert ejected.state(SICK) is TargetState.IN_USE


def test_a_pause_drops_the_permit_and_the_evidence(ejected: Deployment) -> None:
    actions = ejected.managers[SICK].on_pause(2.0, ejected.now + 2)
    assert actions == [TargetReinstated(f't{SICK}')]
    assert ejected.state(SICK) is TargetState.IN_USE


def test_a_draining_target_gets_no_work(fleet: Deployment) -> None:
    manager = fleet.managers[SICK]
    (send,) = manager.on_leaving(f't{SICK}', fleet.now)
    assert isinstance(send, Send)
    assert send.body.leaving
    assert manager.state(f't{SICK}') is TargetState.LEAVING
    assert manager.share(f't{SICK}', fleet.now) == 0


@pytest.mark.parametrize('fresh', [True, False])
def test_a_sick_target_reports_no_more_than_five_times_a_second(
    fresh: bool,
) -> None:
    fleet = Deployment()
    fleet.set_fresh(fresh)
    fleet.managers[HOLDER].set_fresh(False, fleet.now)
    manager = fleet.managers[SICK]
    outcome = Outcome(OutcomeKind.ERROR, 0.001)
    sends = []
    for number in range(1000):
        now = fleet.now + number / 1000
        sends += manager.on_outcome(f't{SICK}', outcome, now)
    assert 1 <= len(sends) <= 5


def test_a_cold_target_starts_slowly(fleet: Deployment) -> None:
    manager = fleet.managers[SICK]
    assert manager.on_cold(f't{SICK}', fleet.now) == []
    assert 0 < manager.share(f't{SICK}', fleet.now) < 0.5
    fleet.run(12.0)
    assert manager.share(f't{SICK}', fleet.now) == 1


def test_a_flapping_target_stays_out_longer_each_time(
    fleet: Deployment,
) -> None:
    lengths = []
    for _ in range(3):
        fleet.failing = {SICK}
        fleet.run(2.0)
        assert fleet.state(SICK) is TargetState.EJECTED
        fleet.failing = set()
        began = fleet.now
        while fleet.state(SICK) is not TargetState.IN_USE:
            fleet.run(1.0)
        lengths.append(fleet.now - began)
    assert lengths[0] < lengths[1] < lengths[2]
