"""Attempts and their outcomes, as entries and owners exchange them."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio

from clementinedeal._http import Body, Headers
from clementinedeal._verdict import Reason, Verdict


class MeshAttempt(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One attempt of a request at one target, as its entry asks the owner.

    ``attempt`` is the attempt's id, ``target`` the target's name. ``left`` is
    the time until the deadline, ``objective`` the latency objective and
    ``wait`` how long the attempt may queue, all in seconds. ``account`` is the
    client account, empty if there is none; ``caller`` is the service of the
    instance where the request came in. ``rank`` holds the priorities of account
    and route.

    Three flags matter for a suspect target. ``insist``: the attempt runs there
    even so. ``scout``: it may be used as a trial. ``spare``: a failure can
    be retried at another target, so it may be used as a trial, less often.

    ``limit`` is the request limit that the entry knows the target to name, in
    requests per second, None if it knows none.
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
    limit: float | None = None


class TargetCondition(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """The condition of a target, which its owner sends with each outcome.

    ``risk`` is the probability that the target is sick. ``running`` and
    ``waiting`` count attempts, ``slots`` is how many may run at once. ``wait``
    is the expected time in the queue, in seconds.

    ``limit`` is the request limit that the target names, in requests per
    second, None if it names none or, unless ``limit_known``, has not answered
    this owner yet. ``pause`` is how long it takes no request by that limit, in
    seconds. ``leaving_ms`` is the start, in Unix milliseconds,
    of the process that says in its answers that it leaves, None if it does not.
    """

    risk: float
    running: int
    waiting: int
    slots: int
    wait: float
    limit: float | None = None
    limit_known: bool = False
    pause: float = 0.0
    leaving_ms: int | None = None


class OutcomeHeader(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The part of an outcome that an owner sends as a header of its answer.

    ``verdict`` and ``reason`` are the values of the enums; ``reason`` is empty
    if the target answered without a failure. ``attempt`` is the id of the
    attempt that the outcome belongs to, empty from owners that do not name it.
    """

    verdict: str
    reason: str
    reached: bool
    retry_after: float
    state: TargetCondition | None
    attempt: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshOutcome:
    """How an attempt, or the whole request, ended.

    ``verdict`` says whether the request ran. ``reason`` is None if the target
    answered without a failure. ``reached`` is True if a byte was sent to the
    target. ``retry_after`` is in seconds. ``status`` is 0 unless the target
    answered; ``headers`` and ``body`` are then its whole answer. ``state`` is
    the condition of the target, if known.
    """

    verdict: Verdict
    reason: Reason | None = None
    reached: bool = False
    retry_after: float = 0.0
    status: int = 0
    headers: Headers = ()
    body: Body = b''
    state: TargetCondition | None = None

    @property
    def succeeded(self) -> bool:
        """True if the target answered without a failure."""
        return self.reason is None


@dataclass(eq=False, slots=True)
class PendingAttempt:
    """A running attempt, as its entry knows it.

    ``sent`` is set before the first byte is sent that can make the request run
    at a target. From ``overdue_at``, in monotonic seconds, another attempt may
    take over. An attempt with ``on_granted`` is sent in two steps whatever its
    request is; the function is called once the owner has granted a slot and
    before the body is sent.
    """

    cancel_scope: trio.CancelScope
    overdue_at: float
    on_granted: Callable[[], None] | None = None
    sent: bool = False


def not_run(
    reason: Reason, state: TargetCondition | None = None
) -> MeshOutcome:
    """Return the outcome of an attempt that did not reach a target.

    :param reason: why it did not run.
    :param state: the condition of the target, if known.
    """
    return MeshOutcome(verdict=Verdict.NOT_RUN, reason=reason, state=state)


def encode_outcome_header(outcome: MeshOutcome, attempt_id: str) -> bytes:
    """Encode an outcome as a header value.

    :param outcome: its status, headers and body are not included.
    :param attempt_id: id of the attempt that it belongs to.
    """
    fields = OutcomeHeader(
        verdict=outcome.verdict.value,
        reason=outcome.reason.value if outcome.reason else '',
        reached=outcome.reached,
        retry_after=outcome.retry_after,
        state=outcome.state,
        attempt=attempt_id,
    )
    return msgspec.json.encode(fields)


def decode_outcome_header(blob: bytes) -> OutcomeHeader:
    """Decode a header value.

    :param blob: the value of the header.
    :raises msgspec.MsgspecError: it is not an encoded outcome.
    """
    return msgspec.json.decode(blob, type=OutcomeHeader)
