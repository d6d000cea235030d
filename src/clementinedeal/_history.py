"""Typed events of a recorded run, for the history checkers.

Times (``at``) are in seconds on one clock for the whole history.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from clementinedeal._verdict import Verdict

EventT = TypeVar('EventT', bound='HistoryEvent')


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryEvent:
    """Base of all events."""

    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestStarted(HistoryEvent):
    """A target received the first byte of a request.

    ``key`` identifies account and idempotency key, empty without one.
    """

    req_id: str
    target: str
    idempotent: bool = False
    key: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestAnswered(HistoryEvent):
    """A caller's request has ended.

    ``whole`` tells whether the caller saw a properly ended answer,
    ``digest`` is what it received, ``expected`` what its request was due.
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
    """A service's targets and floor from now on."""

    service: str
    targets: tuple[str, ...]
    floor: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetExcluded(HistoryEvent):
    """An instance begins (``aside``) or ceases to keep work from a target."""

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
    """A version came into force at one run of an instance."""

    instance: str
    incarnation: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRunning(HistoryEvent):
    """An instance can act from now on, or ceases to (``runs`` is false)."""

    instance: str
    is_running: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyWithdrawn(HistoryEvent):
    """The operators withdrew an account's key."""

    key_digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyHonoured(HistoryEvent):
    """A request was accepted for the key that came with it."""

    key_digest: str
    account: str


@dataclass(frozen=True, slots=True, kw_only=True)
class KeySeenAtTarget(HistoryEvent):
    """A target received a caller's key."""

    target: str
    key_digest: str


@dataclass(frozen=True, slots=True)
class Violation:
    """A point that did not hold."""

    rule: str
    detail: str


def events_of_kind(
    events: Iterable[HistoryEvent],
    kind: type[EventT],
) -> list[EventT]:
    """Return the events of a kind in the order of their times.

    :param events: a history in any order.
    :param kind: the kind.
    """
    found = [event for event in events if isinstance(event, kind)]
    return sorted(found, key=lambda event: event.at)
