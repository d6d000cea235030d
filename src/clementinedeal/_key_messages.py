"""Control messages between entries and keepers of idempotency keys."""

import enum
from dataclasses import dataclass

from clementinedeal._messages import message
from clementinedeal._verdict import Verdict


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer kept for repeats of its request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class KeyState(enum.Enum):
    """What a keeper knows of the request that claimed a key.

    ``FREE`` is the state after a request that did not run.
    """

    IN_PROGRESS = 'in-progress'
    DONE = 'done'
    IN_DOUBT = 'in-doubt'
    FREE = 'free'


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRecord:
    """One claimed key.

    ``key`` is the digest of account and key, ``fingerprint`` that of the
    request. ``answer`` is absent while there is none or where it was too
    large. ``patience`` is the time in seconds for which the request can
    still be in progress.
    """

    key: str
    fingerprint: str
    req_id: str
    state: KeyState
    patience: float = 0.0
    answer: StoredAnswer | None = None


class ClaimOutcome(enum.Enum):
    """A keeper's answer to a claim."""

    NEW = 'new'
    IN_PROGRESS = 'in-progress'
    DONE = 'done'
    IN_DOUBT = 'in-doubt'
    CONFLICT = 'conflict'
    QUARANTINED = 'quarantined'
    FULL = 'full'


@message
@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimKey:
    """Entry to keeper: may this request run?

    ``minted_ms`` is the wall-clock time that the key carries, 0 for none;
    ``patience`` the time left to the request in seconds.
    """

    key: str
    minted_ms: int
    fingerprint: str
    req_id: str
    patience: float


@message
@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Keeper to entry; ``retry_after`` is in seconds."""

    req_id: str
    outcome: ClaimOutcome
    answer: StoredAnswer | None = None
    retry_after: float = 0.0


@message
@dataclass(frozen=True, slots=True, kw_only=True)
class SettleKey:
    """Entry to keeper: what a granted request came to.

    ``NOT_RUN`` frees the key.
    """

    key: str
    fingerprint: str
    req_id: str
    verdict: Verdict
    answer: StoredAnswer | None = None


@message
@dataclass(frozen=True, slots=True)
class KeySettled:
    """Keeper to entry: the settlement has arrived."""

    req_id: str


@message
@dataclass(frozen=True, slots=True)
class QueryKey:
    """Keeper to another keeper: give up this key and say what you know."""

    key: str
    minted_ms: int
    nonce: int


@message
@dataclass(frozen=True, slots=True)
class KeyFound:
    """Answer to ``QueryKey``: the record."""

    nonce: int
    record: KeyRecord


@message
@dataclass(frozen=True, slots=True)
class KeyMissing:
    """Answer to ``QueryKey``: no record.

    ``sure`` tells that the sender would remember one. ``moved_to`` names
    the instance that asked before, or is empty.
    """

    nonce: int
    key: str
    sure: bool
    moved_to: str


@message
@dataclass(frozen=True, slots=True)
class HandOverKeys:
    """Stopping keeper to the next in rank: records to remember."""

    records: tuple[KeyRecord, ...]
