"""Observations of a target's requests and the health concluded from them."""

import enum
from dataclasses import dataclass


class OutcomeKind(enum.Enum):
    """How one request to a target ended.

    ``ERROR`` is a 5xx answer, ``WRONG`` an answer with a bad digest or the
    id of another request, ``SHORT`` a truncated answer, ``TIMEOUT`` no answer
    before the deadline and ``CONNECT`` a connection that failed. ``REFUSED``
    is a request that was shed; this means overload and not a fault.
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
    """How one request from a target's owner to the target ended.

    ``latency_seconds`` runs from the start of the request to its end.
    ``idempotent`` is whether the request may run more than once.
    """

    kind: OutcomeKind
    latency_seconds: float
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class Traffic:
    """Summary of the recent requests of one target.

    ``p50`` and ``p90`` are latencies in seconds; ``failures`` and
    ``corruptions`` are fractions of ``count``, between 0 and 1.
    ``window_seconds`` is the age of the oldest sample.
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

    The peers are the service's other targets and ``peers`` is their number.
    ``p50``, ``p90``, ``failures`` and ``corruptions`` are as in ``Traffic``.
    ``reach_seconds`` is the age of the peers' oldest samples at the time at
    which the permit holder computed the baseline.
    """

    peers: int
    p50: float
    p90: float
    failures: float
    corruptions: float
    reach_seconds: float


class Cause(enum.Enum):
    """The fault for which a target is considered unhealthy.

    ``FAILING`` and ``PARTLY_FAILING`` are a large and a small fraction of
    failures. ``HANGING`` is ``FAILING`` with requests that get no answer.
    ``WRONG`` are wrong or truncated answers, ``SLOW`` are latencies above
    those of the target's peers.
    """

    FAILING = 'failing'
    PARTLY_FAILING = 'partly-failing'
    WRONG = 'wrong'
    SLOW = 'slow'
    HANGING = 'hanging'


@dataclass(frozen=True, slots=True)
class Healthy:
    """The evidence against the target is below the level of suspicion."""


@dataclass(frozen=True, slots=True)
class Suspected:
    """The evidence, in nats, is below the threshold or not yet confirmed."""

    evidence: float


@dataclass(frozen=True, slots=True)
class Unhealthy:
    """The evidence, in nats, has reached the threshold.

    For slowness the peers' samples must also be as new as the evidence.
    """

    cause: Cause
    evidence: float


Health = Healthy | Suspected | Unhealthy
