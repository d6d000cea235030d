"""The verdict on a request, and the reasons of refusals."""

import enum


class Verdict(enum.Enum):
    """Whether a request has run at a target.

    ``NOT_RUN`` requires proof that no target started the request. ``RAN``
    means that a target answered it, even if the answer did not reach the
    caller. ``MAY_HAVE_RUN`` is used where neither is known.
    """

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


class Reason(enum.Enum):
    """Machine-readable reason of a refusal, sent to the caller.

    ``KEY_MISSING`` and ``KEY_UNKNOWN`` concern the API key. ``IN_PROGRESS``,
    ``KEEPER_UNAVAILABLE`` and ``KEY_REUSED`` concern the idempotency key, and
    so does ``DUPLICATE``, unless it refuses an attempt id that was used before.
    ``TARGET_LIMITED`` means that the request exceeds the request limit that the
    target names, ``TARGET_CRASHED`` that the request may have ended the process
    of its target, ``CRASHES_TARGETS`` that equal requests ended several,
    ``NO_TARGET`` that the request could be sent to no target,
    ``OWNER_LOST`` that the connection to an owner broke. ``ZONE_EVACUATED``
    means that operators have evacuated the availability zones of all targets,
    or of the one that was asked, ``NO_HOME`` that none is in a region in which
    the request may run. ``MEMORY_FULL`` means that the daemon has no memory
    for the body.
    """

    BAD_REQUEST = 'bad-request'
    BODY_TOO_LARGE = 'body-too-large'
    HEAD_TOO_LARGE = 'head-too-large'
    SLOW_SENDER = 'slow-sender'
    NO_ROUTE = 'no-route'
    KEY_MISSING = 'key-missing'
    KEY_UNKNOWN = 'key-unknown'
    SERVICE_FORBIDDEN = 'service-forbidden'
    RATE_EXCEEDED = 'rate-exceeded'
    CONFIG_STALE = 'config-stale'
    NO_TARGET = 'no-target'
    ZONE_EVACUATED = 'zone-evacuated'
    NO_HOME = 'no-home'
    TARGET_EJECTED = 'target-ejected'
    QUEUE_FULL = 'queue-full'
    TARGET_LIMITED = 'target-limited'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    MEMORY_FULL = 'memory-full'
    CANCELLED = 'cancelled'
    DUPLICATE = 'duplicate'
    WRONG_INCARNATION = 'wrong-incarnation'
    IN_PROGRESS = 'in-progress'
    KEEPER_UNAVAILABLE = 'keeper-unavailable'
    KEY_REUSED = 'idempotency-key-reused'
    OWNER_LOST = 'owner-lost'
    TARGET_FAILED = 'target-failed'
    TARGET_CRASHED = 'target-crashed'
    CRASHES_TARGETS = 'crashes-targets'
    ANSWER_INCOMPLETE = 'answer-incomplete'
    ANSWER_WRONG = 'answer-wrong'
    CONNECTION_FORGOTTEN = 'connection-forgotten'
    INTERNAL = 'internal'
