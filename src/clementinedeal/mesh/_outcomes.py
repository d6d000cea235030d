"""What daemons tell each other of one attempt."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio

from clementinedeal._http import Headers
from clementinedeal._verdict import Reason, Verdict


class MeshAttempt(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One try of a request at one target, as the entry asks for it.

    ``left`` is the time to the deadline in seconds, ``rank`` the account's
    and the route's priority. ``wait`` is how long it may queue, in seconds;
    ``insist`` asks a suspect target all the same, ``scout`` offers the
    request as a trial of one. ``spare`` tells that a failure can still be made
    good at another target.
    """

    attempt: str
    req_id: str
    target: str
    left: float
    objective: float
    idempotent: bool
    account: str
    caller: str
    rank: tuple[int, int]
    wait: float = 0.0
    insist: bool = False
    scout: bool = False
    spare: bool = False


class TargetCondition(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """What an owner says of its target with each answer.

    ``risk`` is the probability that it is sick; ``wait`` the expected time
    in the queue in seconds.
    """

    risk: float
    running: int
    waiting: int
    slots: int
    wait: float


class OutcomeHeader(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The part of an outcome that travels beside the target's answer."""

    verdict: str
    reason: str
    reached: bool
    retry_after: float
    state: TargetCondition | None


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshOutcome:
    """How an attempt ended.

    ``status`` is 0 unless the target answered; then ``headers`` and ``body``
    are its whole answer. ``reached`` tells that a byte went to the target.
    """

    verdict: Verdict
    reason: Reason | None = None
    reached: bool = False
    retry_after: float = 0.0
    status: int = 0
    headers: Headers = ()
    body: bytes = b''
    state: TargetCondition | None = None

    @property
    def succeeded(self) -> bool:
        """Whether the target answered without a failure."""
        return self.reason is None


@dataclass(eq=False, slots=True)
class PendingAttempt:
    """An attempt under way, as far as its entry knows.

    ``sent`` is set before the first byte goes out that may run at a target.
    From ``overdue_at``, in monotonic seconds, it may be left for another
    attempt if ``may_break_off`` allows that.
    """

    cancel_scope: trio.CancelScope
    overdue_at: float
    reserve_retry: Callable[[float], bool]
    sent: bool = False


def not_run(
    reason: Reason, state: TargetCondition | None = None
) -> MeshOutcome:
    """Return the outcome of an attempt that no target saw.

    :param reason: why.
    :param state: what the owner says of its target.
    """
    return MeshOutcome(verdict=Verdict.NOT_RUN, reason=reason, state=state)


def encode_outcome_header(outcome: MeshOutcome) -> bytes:
    """Encode what travels beside the answer, as a header value."""
    fields = OutcomeHeader(
        verdict=outcome.verdict.value,
        reason=outcome.reason.value if outcome.reason else '',
        reached=outcome.reached,
        retry_after=outcome.retry_after,
        state=outcome.state,
    )
    return msgspec.json.encode(fields)


def decode_outcome_header(blob: bytes) -> OutcomeHeader:
    """Decode a header value.

    :raises msgspec.MsgspecError: it is none.
    """
    return msgspec.json.decode(blob, type=OutcomeHeader)
