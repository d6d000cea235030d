"""Checks of a recorded run.

They use only the events of its history, not the code that is checked. Each
returns the violations that it finds, none if the rule holds.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from clementinedeal._history import (
    ConfigInForce,
    FloorDeclared,
    HistoryEvent,
    InstanceRunning,
    KeyHonoured,
    KeySeenAtTarget,
    KeyWithdrawn,
    Published,
    RequestAdmitted,
    RequestAnswered,
    RequestStarted,
    TargetExcluded,
    TargetLeaving,
    Violation,
    events_of_kind,
)
from clementinedeal._verdict import Verdict

# Tolerates rounding errors in the levels of the leaky buckets.
ROUNDING_TOLERANCE_REQUESTS = 1e-6

Events = Sequence[HistoryEvent]
Violations = tuple[Violation, ...]


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of one account.

    ``rate`` is in requests per second, ``burst`` in requests.
    """

    rate: float
    burst: float


def check_at_most_once(events: Events) -> Violations:
    """Check that non-idempotent requests start at most once.

    This holds for each request id and for each idempotency key.

    :param events: the history.
    """
    starts = [
        event
        for event in events_of_kind(events, RequestStarted)
        if not event.idempotent
    ]
    by_request = Counter(event.req_id for event in starts)
    by_key = Counter(event.key for event in starts if event.key)
    return (
        *_find_repeats('at-most-once by request', by_request),
        *_find_repeats('at-most-once by key', by_key),
    )


def check_not_run(events: Events) -> Violations:
    """Check that no request refused as ``not-run`` was ever started.

    :param events: the history.
    """
    started = {event.req_id for event in events_of_kind(events, RequestStarted)}
    return tuple(
        Violation('not-run', f'{event.req_id} was started')
        for event in events_of_kind(events, RequestAnswered)
        if event.verdict is Verdict.NOT_RUN and event.req_id in started
    )


def check_answers(events: Events) -> Violations:
    """Check that each complete answer is the answer to its own request.

    :param events: the history.
    """
    return tuple(
        Violation('answer', f'{event.req_id} got {event.digest}')
        for event in events_of_kind(events, RequestAnswered)
        if event.is_whole and event.digest != event.expected
    )


def check_rates(
    events: Events,
    limits: Mapping[str, RateLimit],
) -> Violations:
    """Check that in any interval, admitted <= burst + rate * length.

    Each account has a leaky bucket: an admitted request adds one, and the
    bucket leaks at the rate. Its level exceeds the burst exactly if some
    interval that ends at that time has too many admitted requests.

    :param events: the history.
    :param limits: rate limits by account name; an account without one may
        have no request admitted.
    """
    levels: dict[str, float] = defaultdict(float)
    last_at: dict[str, float] = {}
    violations: list[Violation] = []
    for event in events_of_kind(events, RequestAdmitted):
        name = event.account
        limit = limits.get(name, RateLimit(0, 0))
        leaked = limit.rate * (event.at - last_at.get(name, event.at))
        last_at[name] = event.at
        levels[name] = max(0, levels[name] - leaked) + 1
        if levels[name] > limit.burst + ROUNDING_TOLERANCE_REQUESTS:
            detail = f'{name} at {event.at}: {levels[name]} > {limit.burst}'
            violations.append(Violation('rate', detail))
    return tuple(violations)


def check_floor(events: Events) -> Violations:
    """Check that the targets in use never fall below a service's floor.

    A target is in use if no instance excludes it. Events of the same time are
    applied together.

    :param events: the history.
    """
    excluded_by: dict[str, set[str]] = defaultdict(set)
    declared: dict[str, FloorDeclared] = {}
    violations: list[Violation] = []
    for group in _group_by_time(events):
        for event in group:
            if isinstance(event, FloorDeclared):
                declared[event.service] = event
            if isinstance(event, TargetExcluded) and event.is_excluded:
                excluded_by[event.target].add(event.instance)
            elif isinstance(event, TargetExcluded):
                excluded_by[event.target].discard(event.instance)
        at = group[0].at
        violations.extend(_find_below_floor(declared.values(), excluded_by, at))
    return tuple(violations)


def check_leaving(events: Events, max_seconds: float) -> Violations:
    """Check that a leaving target gets no new work after ``max_seconds``.

    :param events: the history.
    :param max_seconds: time after the announcement in which work may still
        start.
    """
    left_at = {
        event.target: event.at
        for event in events_of_kind(events, TargetLeaving)
    }
    return tuple(
        Violation('leaving', f'{event.req_id} at {event.target} {event.at}')
        for event in events_of_kind(events, RequestStarted)
        if event.at > left_at.get(event.target, event.at) + max_seconds
    )


def check_keys(events: Events, max_seconds: float) -> Violations:
    """Check that no target sees a key and that withdrawn keys stop working.

    :param events: the history.
    :param max_seconds: time after the withdrawal in which the key may still
        be accepted.
    """
    withdrawn_at = {
        event.key_digest: event.at
        for event in events_of_kind(events, KeyWithdrawn)
    }
    late = [
        event
        for event in events_of_kind(events, KeyHonoured)
        if event.at > withdrawn_at.get(event.key_digest, event.at) + max_seconds
    ]
    leaked = events_of_kind(events, KeySeenAtTarget)
    return (
        *(Violation('key-withdrawn', f'{event}') for event in late),
        *(Violation('key-at-target', f'{event}') for event in leaked),
    )


def check_versions(events: Events) -> Violations:
    """Check that no instance returns to an older version, even by a restart.

    :param events: the history.
    """
    highest: dict[str, int] = {}
    violations: list[Violation] = []
    for event in events_of_kind(events, ConfigInForce):
        before = highest.get(event.instance, event.version)
        if event.version < before:
            violations.append(Violation('version', f'{event} after {before}'))
        highest[event.instance] = max(before, event.version)
    return tuple(violations)


def check_convergence(events: Events, max_seconds: float) -> Violations:
    """Check that a published version comes into force at every instance.

    Only instances that run for the whole period are checked.

    :param events: the history.
    :param max_seconds: time from publication until the version must be in
        force.
    """
    in_force = events_of_kind(events, ConfigInForce)
    violations: list[Violation] = []
    for published in events_of_kind(events, Published):
        due = published.at + max_seconds
        reached = {
            event.instance
            for event in in_force
            if event.version >= published.version and event.at <= due
        }
        late = _running_throughout(events, published.at, due) - reached
        for name in sorted(late):
            detail = f'{published.version} at {name}'
            violations.append(Violation('convergence', detail))
    return tuple(violations)


def _find_repeats(rule: str, counts: Counter[str]) -> list[Violation]:
    return [
        Violation(rule, f'{name} started {count} times')
        for name, count in counts.items()
        if count > 1
    ]


def _group_by_time(events: Events) -> list[list[HistoryEvent]]:
    groups: list[list[HistoryEvent]] = []
    for event in events_of_kind(events, HistoryEvent):
        if groups and groups[-1][0].at == event.at:
            groups[-1].append(event)
        else:
            groups.append([event])
    return groups


def _find_below_floor(
    declared: Iterable[FloorDeclared],
    excluded_by: Mapping[str, set[str]],
    at: float,
) -> list[Violation]:
    violations: list[Violation] = []
    for event in declared:
        available = [
            name for name in event.targets if not excluded_by.get(name)
        ]
        if len(available) < event.floor:
            detail = f'{event.service} has {len(available)} at {at}'
            violations.append(Violation('floor', detail))
    return violations


def _running_throughout(
    events: Events,
    begin: float,
    end: float,
) -> set[str]:
    running: set[str] = set()
    for event in events_of_kind(events, InstanceRunning):
        if event.at <= begin and event.is_running:
            running.add(event.instance)
        elif event.at <= end and not event.is_running:
            running.discard(event.instance)
    return running
