"""Typed events of a recorded run, for the history checks.

A history is a sequence of these events. Their times (``at``) are in seconds,
by one clock for the whole history.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from clementinedeal._verdict import Verdict

EventT = TypeVar('EventT', bound='HistoryEvent')


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryEvent:
    """Base class of all events."""

    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestStarted(HistoryEvent):
    """A target received the first byte of a request.

    ``key`` identifies the account and its idempotency key; it is empty if the
    request has no idempotency key.
    """

    req_id: str
    target: str
    idempotent: bool = False
    key: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestAnswered(HistoryEvent):
    """A caller's request has ended, with an answer or without one.

    ``is_whole`` is true if the caller received a complete answer, ``digest``
    is the digest of the bytes that it received, and ``expected`` the digest of
    the right answer to its request.
    """

    req_id: str
    verdict: Verdict
    status: int = 0
    is_whole: bool = True
    digest: str = ''
    expected: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestAdmitted(HistoryEvent):
    """A request was counted against its account's rate."""

    account: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FloorDeclared(HistoryEvent):
    """A service's targets and floor changed.

    ``floor`` is the number of targets that must stay in use.
    """

    service: str
    targets: tuple[str, ...]
    floor: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetExcluded(HistoryEvent):
    """An instance begins (``is_excluded``) or ceases to exclude a target.

    An excluded target gets no work from the instance.
    """

    instance: str
    target: str
    is_excluded: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLeaving(HistoryEvent):
    """A target announced that it leaves."""

    target: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Published(HistoryEvent):
    """A valid configuration version was published."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigInForce(HistoryEvent):
    """A configuration version came into force at an instance.

    ``incarnation`` identifies the run of the instance.
    """

    instance: str
    incarnation: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRunning(HistoryEvent):
    """An instance starts to run, or ceases to (``is_running`` is false)."""

    instance: str
    is_running: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyWithdrawn(HistoryEvent):
    """The operators withdrew an account's key, given by its digest."""

    key_digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyHonoured(HistoryEvent):
    """A request was accepted because of the key that it carried."""

    key_digest: str
    account: str


@dataclass(frozen=True, slots=True, kw_only=True)
class KeySeenAtTarget(HistoryEvent):
    """A target received a caller's key, which must never happen."""

    target: str
    key_digest: str


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that the history breaks.

    ``rule`` names the rule, ``detail`` the events that break it.
    """

    rule: str
    detail: str


def events_of_kind(
    events: Iterable[HistoryEvent],
    kind: type[EventT],
) -> list[EventT]:
    """Return the events of one class, ordered by time.

    :param events: a history in any order.
    :param kind: class of the events to return.
    """
    matching_events = [event for event in events if isinstance(event, kind)]
    return sorted(matching_events, key=lambda event: event.at)
