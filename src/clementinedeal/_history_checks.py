"""Checkers of a recorded run; they read events and know no mechanism."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from clementinedeal._history import (
    Admitted,
    Answered,
    ConfigInForce,
    FloorDeclared,
    HistoryEvent,
    InstanceRuns,
    KeyHonoured,
    KeySeenAtTarget,
    KeyWithdrawn,
    Published,
    Started,
    TargetLeaving,
    TargetSetAside,
    Violation,
    of_kind,
)
from clementinedeal._verdict import Verdict

ROUNDING_REQUESTS = 1e-6

Events = Sequence[HistoryEvent]
Violations = tuple[Violation, ...]


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Requests per second and requests at once of one account."""

    rate: float
    burst: float


def check_at_most_once(events: Events) -> Violations:
    """Non-idempotent work starts once per request and per idempotency key.

    :param events: the history.
    """
    starts = [
        event for event in of_kind(events, Started) if not event.idempotent
    ]
    by_request = Counter(event.req_id for event in starts)
    by_key = Counter(event.key for event in starts if event.key)
    return (
        *_repeats('at-most-once by request', by_request),
        *_repeats('at-most-once by key', by_key),
    )


def check_not_run(events: Events) -> Violations:
    """No request that was refused as not run was ever started.

    :param events: the history.
    """
    started = {event.req_id for event in of_kind(events, Started)}
    return tuple(
        Violation('not-run', f'{event.req_id} was started')
        for event in of_kind(events, Answered)
        if event.verdict is Verdict.NOT_RUN and event.req_id in started
    )


def check_answers(events: Events) -> Violations:
    """An answer that looks whole is the whole answer to its own request.

    :param events: the history.
    """
    return tuple(
        Violation('answer', f'{event.req_id} got {event.digest}')
        for event in of_kind(events, Answered)
        if event.whole and event.digest != event.expected
    )


def check_rates(
    events: Events,
    limits: Mapping[str, RateLimit],
) -> Violations:
    """Over any interval, admitted <= burst + rate * length.

    A bucket that leaks at the rate holds more than the burst exactly when
    some interval that ends now admitted too much.

    :param events: the history.
    :param limits: by account name; accounts without one may have nothing.
    """
    levels: dict[str, float] = defaultdict(float)
    last: dict[str, float] = {}
    found: list[Violation] = []
    for event in of_kind(events, Admitted):
        name = event.account
        limit = limits.get(name, RateLimit(0, 0))
        leaked = limit.rate * (event.at - last.get(name, event.at))
        last[name] = event.at
        levels[name] = max(0, levels[name] - leaked) + 1
        if levels[name] > limit.burst + ROUNDING_REQUESTS:
            detail = f'{name} at {event.at}: {levels[name]} > {limit.burst}'
            found.append(Violation('rate', detail))
    return tuple(found)


def check_floor(events: Events) -> Violations:
    """Targets that no instance sets aside stay at or above the floor.

    :param events: the history.
    """
    aside: dict[str, set[str]] = defaultdict(set)
    declared: dict[str, FloorDeclared] = {}
    found: list[Violation] = []
    for moment in _moments(events):
        for event in moment:
            if isinstance(event, FloorDeclared):
                declared[event.service] = event
            if isinstance(event, TargetSetAside) and event.aside:
                aside[event.target].add(event.instance)
            elif isinstance(event, TargetSetAside):
                aside[event.target].discard(event.instance)
        at = moment[0].at
        found.extend(_below_floor(declared.values(), aside, at))
    return tuple(found)


def check_leaving(events: Events, bound: float) -> Violations:
    """A leaving target gets no new work after a time.

    :param events: the history.
    :param bound: seconds after the target's announcement.
    """
    left = {event.target: event.at for event in of_kind(events, TargetLeaving)}
    return tuple(
        Violation('leaving', f'{event.req_id} at {event.target} {event.at}')
        for event in of_kind(events, Started)
        if event.at > left.get(event.target, event.at) + bound
    )


def check_keys(events: Events, bound: float) -> Violations:
    """No target sees a key, and a withdrawn one stops working.

    :param events: the history.
    :param bound: seconds from the withdrawal.
    """
    gone = {
        event.key_digest: event.at for event in of_kind(events, KeyWithdrawn)
    }
    late = [
        event
        for event in of_kind(events, KeyHonoured)
        if event.at > gone.get(event.key_digest, event.at) + bound
    ]
    seen = of_kind(events, KeySeenAtTarget)
    return (
        *(Violation('key-withdrawn', f'{event}') for event in late),
        *(Violation('key-at-target', f'{event}') for event in seen),
    )


def check_versions(events: Events) -> Violations:
    """No instance goes back to an older version, also over a restart.

    :param events: the history.
    """
    highest: dict[str, int] = {}
    found: list[Violation] = []
    for event in of_kind(events, ConfigInForce):
        before = highest.get(event.instance, event.version)
        if event.version < before:
            found.append(Violation('version', f'{event} after {before}'))
        highest[event.instance] = max(before, event.version)
    return tuple(found)


def check_convergence(events: Events, bound: float) -> Violations:
    """A published version is in force everywhere within a time.

    Only instances that run for the whole time are judged.

    :param events: the history.
    :param bound: seconds from the publication.
    """
    in_force = of_kind(events, ConfigInForce)
    found: list[Violation] = []
    for published in of_kind(events, Published):
        due = published.at + bound
        reached = {
            event.instance
            for event in in_force
            if event.version >= published.version and event.at <= due
        }
        late = _running_all_the_time(events, published.at, due) - reached
        for name in sorted(late):
            detail = f'{published.version} at {name}'
            found.append(Violation('convergence', detail))
    return tuple(found)


def _repeats(point: str, counts: Counter[str]) -> list[Violation]:
    return [
        Violation(point, f'{name} started {count} times')
        for name, count in counts.items()
        if count > 1
    ]


def _moments(events: Events) -> list[list[HistoryEvent]]:
    moments: list[list[HistoryEvent]] = []
    for event in of_kind(events, HistoryEvent):
        if moments and moments[-1][0].at == event.at:
            moments[-1].append(event)
        else:
            moments.append([event])
    return moments


def _below_floor(
    declared: Iterable[FloorDeclared],
    aside: Mapping[str, set[str]],
    at: float,
) -> list[Violation]:
    found: list[Violation] = []
    for service in declared:
        left = [name for name in service.targets if not aside.get(name)]
        if len(left) < service.floor:
            detail = f'{service.service} has {len(left)} at {at}'
            found.append(Violation('floor', detail))
    return found


def _running_all_the_time(
    events: Events,
    begin: float,
    end: float,
) -> set[str]:
    running: set[str] = set()
    for event in of_kind(events, InstanceRuns):
        if event.at <= begin and event.runs:
            running.add(event.instance)
        elif event.at <= end and not event.runs:
            running.discard(event.instance)
    return running
