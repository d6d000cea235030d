"""Tells which requests may have crashed the target that ran them.

Such a request is not retried: it could end the next target too.
"""

from collections.abc import Callable
from dataclasses import replace

from clementinedeal._events import EventLog
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._crash_records import (
    CrashNotice,
    fingerprint_request,
)
from clementinedeal.mesh._outcomes import MeshAttempt, MeshOutcome
from clementinedeal.mesh._target_client import BufferedRequest, TargetClient
from clementinedeal.mesh._types import Target

# A request that crashes its target does so when the target reads it or begins
# to work on it. One that has run for longer was only beside another.
CRASH_SECONDS = 0.25
_LOST_REASONS = frozenset(
    (Reason.ANSWER_INCOMPLETE, Reason.CONNECTION_FORGOTTEN)
)


class CrashDetector:
    """Checks attempts that lost their target.

    Handlers in ``on_crash`` are called with each crash and suspected request.
    """

    def __init__(self, target_client: TargetClient, events: EventLog) -> None:
        """Create a detector.

        :param target_client: tells whether the target is down.
        :param events: log of crashes.
        """
        self._target_client = target_client
        self._events = events
        self.on_crash: list[Callable[[CrashNotice], None]] = []

    async def check(
        self,
        attempt: MeshAttempt,
        request: BufferedRequest,
        target: Target,
        outcome: MeshOutcome,
        seconds: float,
    ) -> MeshOutcome:
        """Return an outcome, with another reason if the attempt is suspect.

        :param attempt: an attempt that was sent to the target.
        :param request: its request.
        :param target: the target as listed when the attempt was sent.
        :param outcome: how it ended.
        :param seconds: time from the send to the end.
        """
        was_lost_early = is_early_loss(outcome, seconds)
        if not (was_lost_early and await self._target_client.is_down()):
            return outcome
        self._events.emit(
            'target-crashed',
            req=attempt.req_id,
            attempt=attempt.attempt,
            target=attempt.target,
            seconds=f'{seconds:.3f}',
        )
        notice = CrashNotice(
            fingerprint_request(request),
            attempt.target,
            target.started_ms,
        )
        for handler in self.on_crash:
            handler(notice)
        return replace(outcome, reason=Reason.TARGET_CRASHED)


def is_early_loss(outcome: MeshOutcome, seconds: float) -> bool:
    """Whether an attempt lost its target as the target began it.

    :param outcome: how the attempt ended.
    :param seconds: time from the send to the end.
    """
    return (
        outcome.verdict is Verdict.MAY_HAVE_RUN
        and outcome.reason in _LOST_REASONS
        and seconds <= CRASH_SECONDS
    )
