"""What is observed of a target and what is concluded from it."""

import enum
from dataclasses import dataclass


class OutcomeKind(enum.Enum):
    """How one request to a target ended.

    ``ERROR`` is a 5xx answer, ``WRONG`` a bad digest or a foreign request
    id, ``SHORT`` a truncated answer, ``REFUSED`` shed load, which is
    overload and no sickness.
    """

    OK = 'ok'
    ERROR = 'error'
    WRONG = 'wrong'
    SHORT = 'short'
    TIMEOUT = 'timeout'
    REFUSED = 'refused'
    CONNECT = 'connect'


FAILURE_KINDS = frozenset(
    (
        OutcomeKind.ERROR,
        OutcomeKind.WRONG,
        OutcomeKind.SHORT,
        OutcomeKind.TIMEOUT,
        OutcomeKind.CONNECT,
    ),
)
CORRUPTION_KINDS = frozenset((OutcomeKind.WRONG, OutcomeKind.SHORT))


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """End of one request of the owner's own traffic."""

    kind: OutcomeKind
    latency_seconds: float
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class Traffic:
    """Summary of the recent requests of one target.

    Latencies are in seconds, shares between 0 and 1; ``window_seconds`` is
    how far back the samples reach.
    """

    count: int = 0
    p50: float = 0.0
    p90: float = 0.0
    failures: float = 0.0
    corruptions: float = 0.0
    window_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Baseline:
    """Median of the recent traffic of a target's peers.

    ``reach_seconds`` is how far back from its sending the samples reach.
    """

    peers: int
    p50: float
    p90: float
    failures: float
    corruptions: float
    reach_seconds: float


class Cause(enum.Enum):
    """Why a target is held to be sick."""

    FAILING = 'failing'
    PARTLY_FAILING = 'partly-failing'
    WRONG = 'wrong'
    SLOW = 'slow'
    HANGING = 'hanging'


@dataclass(frozen=True, slots=True)
class Healthy:
    """Nothing speaks against the target."""


@dataclass(frozen=True, slots=True)
class Suspected:
    """Some evidence, in nats of log-likelihood ratio."""

    evidence: float


@dataclass(frozen=True, slots=True)
class Unhealthy:
    """Evidence above the threshold, in nats, confirmed by the peers."""

    cause: Cause
    evidence: float


Health = Healthy | Suspected | Unhealthy
