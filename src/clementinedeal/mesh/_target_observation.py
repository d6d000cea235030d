"""What an entry knows of one target."""

from dataclasses import dataclass

from clementinedeal.mesh._outcomes import TargetCondition
from clementinedeal.mesh._types import Target

# The last known condition of a target loses half its weight in this time; the
# estimate returns to the defaults.
HALF_LIFE_SECONDS = 4.0
# An observation older than this is asked for again before a request is sent.
MAX_KNOWN_SECONDS = 0.4
# Load and risk assumed of a target whose condition is unknown.
DEFAULT_LOAD = 0.4
DEFAULT_RISK = 0.25


@dataclass(slots=True)
class TargetObservation:
    """The last known condition of a target, as this entry observed it.

    ``load`` is the fraction of slots in use, above 1 with a queue. ``risk`` is
    the probability that the target is sick. ``wait`` is the expected time in
    its queue, in seconds. ``observed_at`` and ``avoid_until`` are monotonic
    seconds. ``in_flight`` counts the attempts that this entry has there.

    ``slots`` is how many requests the target can run at once. ``limit`` is the
    request limit that it names, in requests per second; by it, it accepts no
    request until ``paused_until``. Its processes that were started up to
    ``leaving_ms`` leave. ``started_ms`` is the start of the listed process,
    ``warmup_seconds`` the warmup that it told last; it is slow until
    ``warmup_until``.
    """

    load: float = DEFAULT_LOAD
    risk: float = DEFAULT_RISK
    wait: float = 0.0
    observed_at: float = float('-inf')
    avoid_until: float = float('-inf')
    in_flight: int = 0
    slots: int = 1
    limit: float | None = None
    paused_until: float = float('-inf')
    leaving_ms: int | None = None
    started_ms: int = -1
    warmup_seconds: float | None = None
    warmup_until: float = float('-inf')

    def set_target(self, target: Target, now: float) -> None:
        """Forget what was said by the process that was listed before.

        :param target: the listed process.
        :param now: monotonic time in seconds.
        """
        is_same = self.started_ms == target.started_ms
        if not (is_same and self.warmup_seconds == target.warmup_seconds):
            self.warmup_seconds = target.warmup_seconds
            warmup_until = now + (target.warmup_seconds or 0)
            self.warmup_until = max(self.warmup_until, warmup_until)
        if is_same:
            return
        if self.leaving_ms == self.started_ms:
            self.leaving_ms = None
        self.started_ms = target.started_ms
        self.slots = target.slots
        self.limit = None
        self.paused_until = float('-inf')

    def record(self, state: TargetCondition, now: float) -> None:
        """Record a condition.

        :param state: the condition, as the owner sent it.
        :param now: monotonic time in seconds.
        """
        busy = state.running + state.waiting
        self.load = busy / max(1, state.slots)
        self.risk = state.risk
        self.wait = state.wait
        self.observed_at = now
        self.slots = state.slots
        if state.limit_known:
            self.limit = state.limit
        self.paused_until = now + state.pause
        if state.leaving_ms is not None:
            self.leaving_ms = state.leaving_ms

    def is_leaving(self) -> bool:
        """Whether the listed process has said that it leaves."""
        return self.leaving_ms is not None and (
            self.started_ms <= self.leaving_ms
        )

    def is_known(self, now: float) -> bool:
        """Whether the condition was observed just now.

        :param now: monotonic time in seconds.
        """
        return now - self.observed_at <= MAX_KNOWN_SECONDS

    def is_avoided(self, now: float) -> bool:
        """Whether the target accepts no request now, as far as is known.

        :param now: monotonic time in seconds.
        """
        return now < max(self.avoid_until, self.paused_until)

    def estimate_load(self, now: float) -> float:
        """Return the load that the target is expected to have.

        :param now: monotonic time in seconds.
        """
        load = DEFAULT_LOAD + (self.load - DEFAULT_LOAD) * self._weight(now)
        return max(load, self.in_flight / max(1, self.slots))

    def estimate_risk(self, now: float, default: float = DEFAULT_RISK) -> float:
        """Return the probability that the target is sick.

        :param now: monotonic time in seconds.
        :param default: the risk assumed of a target that is not observed.
        """
        return default + (self.risk - default) * self._weight(now)

    def estimate_wait(
        self, now: float, default: float, work_seconds: float
    ) -> float:
        """Return the time until a slot is expected to be free, in seconds.

        :param now: monotonic time in seconds.
        :param default: the wait assumed of a target that is not observed.
        :param work_seconds: mean time that a request takes.
        """
        wait = 0.0
        if self.load >= 1:
            # what the owner tells is the wait of the most urgent requests
            excess = self.load - 1 + 1 / max(1, self.slots)
            wait = max(self.wait, excess * work_seconds)
        return default + (wait - default) * self._weight(now)

    def _weight(self, now: float) -> float:
        """Return the weight of what was observed, from 1 when new to 0."""
        weight: float = 0.5 ** ((now - self.observed_at) / HALF_LIFE_SECONDS)
        return weight
