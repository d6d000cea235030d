"""Control messages between entries and keepers of idempotency keys."""

import enum
from dataclasses import dataclass

from clementinedeal._messages import message
from clementinedeal._verdict import Verdict


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer that is kept to be replayed to repeated requests.

    ``headers`` are names and values, decoded as Latin-1.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class KeyState(enum.Enum):
    """State of the request that claimed a key.

    ``IN_DOUBT`` means that the request may have run and that its outcome is
    unknown, ``FREE`` that it did not run, so that the key may be claimed
    again.
    """

    IN_PROGRESS = 'in-progress'
    DONE = 'done'
    IN_DOUBT = 'in-doubt'
    FREE = 'free'


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRecord:
    """A keeper's record of one claimed key.

    ``key`` is the digest of account and key, ``fingerprint`` the digest of
    the request, ``req_id`` the id of the request that claimed the key.
    ``answer`` is None until there is one, or if it was too large to store.
    ``patience`` is the time in seconds for which the request may still be in
    progress.
    """

    key: str
    fingerprint: str
    req_id: str
    state: KeyState
    patience: float = 0.0
    answer: StoredAnswer | None = None


class ClaimOutcome(enum.Enum):
    """A keeper's answer to a claim.

    ``NEW`` grants the key. ``IN_PROGRESS``, ``DONE`` and ``IN_DOUBT`` are the
    states of an earlier request with the key. ``CONFLICT`` means that the key
    was claimed for a different request, ``QUARANTINED`` that the keeper may
    not know of all earlier claims, ``FULL`` that it has no memory left.
    """

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
    """Entry to keeper: claim a key for a request.

    ``key`` is the digest of account and key. ``minted_ms`` is the wall-clock
    time in milliseconds that the key carries, 0 for none. ``patience`` is the
    time in seconds for which the request may be in progress.
    """

    key: str
    minted_ms: int
    fingerprint: str
    req_id: str
    patience: float


@message
@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Keeper to entry: the answer to a claim.

    ``answer`` is the stored answer if the outcome is ``DONE`` and one is
    known; ``retry_after`` is in seconds.
    """

    req_id: str
    outcome: ClaimOutcome
    answer: StoredAnswer | None = None
    retry_after: float = 0.0


@message
@dataclass(frozen=True, slots=True, kw_only=True)
class SettleKey:
    """Entry to keeper: the outcome of a request with a claim.

    The verdict ``NOT_RUN`` makes the key available to another request.
    """

    key: str
    fingerprint: str
    req_id: str
    verdict: Verdict
    answer: StoredAnswer | None = None


@message
@dataclass(frozen=True, slots=True)
class KeySettled:
    """Keeper to entry: confirms a ``SettleKey`` message."""

    req_id: str


@message
@dataclass(frozen=True, slots=True)
class QueryKey:
    """Keeper to another keeper: stop granting a key and send its record.

    ``nonce`` is repeated in the answer; ``minted_ms`` is as in ``ClaimKey``.
    """

    key: str
    minted_ms: int
    nonce: int


@message
@dataclass(frozen=True, slots=True)
class KeyFound:
    """Answer to ``QueryKey``: the key's record."""

    nonce: int
    record: KeyRecord


@message
@dataclass(frozen=True, slots=True)
class KeyMissing:
    """Answer to ``QueryKey``: the sender has no record of the key.

    ``sure`` is set if the sender would know of any earlier claim. ``moved_to``
    is the instance that queried the key before, or empty.
    """

    nonce: int
    key: str
    sure: bool
    moved_to: str


@message
@dataclass(frozen=True, slots=True)
class HandOverKeys:
    """Stopping keeper to the keys' next keeper: records to store."""

    records: tuple[KeyRecord, ...]
