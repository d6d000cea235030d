"""Each history check accepts a clean history and rejects a broken one."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinedeal import _history as hs
from clementinedeal import _history_checks as checks
from clementinedeal._history import HistoryEvent
from clementinedeal._verdict import Verdict

History = tuple[HistoryEvent, ...]
FLOOR = hs.FloorDeclared(at=0, service='s', targets=('a', 'b'), floor=1)


def start(req_id: str, at: float, **fields: object) -> hs.RequestStarted:
    return hs.RequestStarted(req_id=req_id, target='a', at=at, **fields)  # type: ignore[arg-type]


def exclude(instance: str, target: str, at: float) -> hs.TargetExcluded:
    return hs.TargetExcluded(
        instance=instance, target=target, is_excluded=True, at=at
    )


def include(instance: str, target: str, at: float) -> hs.TargetExcluded:
    return hs.TargetExcluded(
        instance=instance, target=target, is_excluded=False, at=at
    )


def answered(verdict: Verdict, digest: str = '') -> hs.RequestAnswered:
    return hs.RequestAnswered(
        req_id='r', verdict=verdict, digest=digest, expected='', at=9
    )


def force(version: int, at: float, incarnation: str = 'x') -> hs.ConfigInForce:
    return hs.ConfigInForce(
        instance='i', incarnation=incarnation, version=version, at=at
    )


CASES = [
    (
        checks.check_at_most_once,
        (start('r', 1), start('q', 1), start('p', 1, idempotent=True))
        + (start('p', 2, idempotent=True),),
        (start('r', 1), start('r', 2)),
    ),
    (
        checks.check_at_most_once,
        (start('r', 1, key='k'), start('q', 2, key='l')),
        (start('r', 1, key='k'), start('q', 2, key='k')),
    ),
    (
        checks.check_not_run,
        (start('r', 1), answered(Verdict.MAY_HAVE_RUN)),
        (answered(Verdict.NOT_RUN), start('r', 10)),
    ),
    (
        checks.check_answers,
        (answered(Verdict.RAN),),
        (answered(Verdict.RAN, 'that of another'),),
    ),
    (
        checks.check_floor,
        (
            FLOOR,
            exclude('i', 'a', 1),
            include('i', 'a', 2),
            exclude('j', 'b', 2),
        ),
        (FLOOR, exclude('i', 'a', 1), exclude('j', 'b', 2)),
    ),
    (
        lambda events: checks.check_leaving(events, 3),
        (hs.TargetLeaving(target='a', at=1), start('r', 4)),
        (hs.TargetLeaving(target='a', at=1), start('r', 4.1)),
    ),
    (
        lambda events: checks.check_keys(events, 7),
        (hs.KeyWithdrawn(key_digest='k', at=1),)
        + (hs.KeyHonoured(key_digest='k', account='c', at=8),),
        (hs.KeyWithdrawn(key_digest='k', at=1),)
        + (hs.KeyHonoured(key_digest='k', account='c', at=8.1),),
    ),
    (
        lambda events: checks.check_keys(events, 7),
        (),
        (hs.KeySeenAtTarget(target='a', key_digest='k', at=1),),
    ),
    (
        checks.check_versions,
        (force(1, 1), force(2, 2), force(2, 3, 'y')),
        (force(2, 1), force(1, 2, 'y')),
    ),
    (
        lambda events: checks.check_convergence(events, 7),
        (hs.InstanceRunning(instance='i', is_running=True, at=0),)
        + (hs.Published(version=2, at=1), force(2, 8)),
        (hs.InstanceRunning(instance='i', is_running=True, at=0),)
        + (hs.Published(version=2, at=1), force(2, 8.1)),
    ),
    (
        lambda events: checks.check_convergence(events, 7),
        (hs.InstanceRunning(instance='i', is_running=True, at=0),)
        + (hs.InstanceRunning(instance='i', is_running=False, at=5),)
        + (hs.Published(version=2, at=1),),
        (hs.InstanceRunning(instance='i', is_running=True, at=0),)
        + (hs.Published(version=2, at=1),),
    ),
]


@pytest.mark.parametrize(('check', 'clean', 'broken'), CASES)
def test_each_check_accepts_clean_and_rejects_broken_histories(
    check: object, clean: History, broken: History
) -> None:
    assert callable(check)
    assert check(clean) == ()
    assert len(check(broken)) == 1
    assert len(check(tuple(reversed(broken)))) == 1


@given(
    st.lists(st.integers(0, 40), max_size=12),
    st.sampled_from((0.25, 1, 2)),
    st.integers(1, 4),
)
def test_rates_are_checked_over_every_interval(
    quarters: list[int], rate: float, burst: int
) -> None:
    times = sorted(quarter / 4 for quarter in quarters)
    events = [hs.RequestAdmitted(account='c', at=at) for at in times]
    exceeded = any(
        last - first + 1 > burst + rate * (times[last] - times[first])
        for first in range(len(times))
        for last in range(first, len(times))
    )
    limits = {'c': checks.RateLimit(rate, burst)}
    assert bool(checks.check_rates(events, limits)) == exceeded
    assert len(checks.check_rates(events, {})) == len(times)
