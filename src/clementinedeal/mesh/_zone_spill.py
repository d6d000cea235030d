"""Decides which requests leave the availability zone, and how many.

Traffic between zones is slower and charged for. A request leaves only if it is
expected to be answered so much sooner that this is worth the bytes, or if it
would be late otherwise.
"""

import enum
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._service_needs import ServiceNeeds, SlotCounts
from clementinedeal.mesh._types import Target
from clementinedeal.mesh._zone_view import ZoneView

# The share of those requests that gain by leaving that may leave. It rises by a
# step when a target of another zone takes one and falls when one is refused, at
# most one step in an interval. A small share always tries.
START_SHARE = 0.5
MIN_SHARE = 0.125
STEP_SHARE = 0.25
STEP_SECONDS = 0.25
# A failure is as bad as a wait of this many latency objectives, if it cannot be
# made good by a retry, and if it can.
FAILURE_OBJECTIVES = 2.0
RETRIED_FAILURE_OBJECTIVES = 0.5
DEFAULT_ROUND_TRIP_SECONDS = 0.002
# Weight of the newest round trip in the mean.
NEWEST_ROUND_TRIP_WEIGHT = 0.1
# After this many refusals by other zones a request goes there no more, unless
# it can go to no target of its own zone.
MAX_REFUSALS_OUTSIDE = 2
# Shortest time between two log lines on the same service.
LOG_INTERVAL_SECONDS = 1.0


class ZoneReason(enum.Enum):
    """Why a request leaves its zone, or stays.

    ``NOT_FASTER``, ``NOT_WORTH_THE_BYTES`` and ``NOT_DRAWN`` are the cases in
    which a request could be answered on either side and stays.
    """

    NONE_INSIDE = 'none-inside'
    SICK_INSIDE = 'sick-inside'
    LATE_INSIDE = 'late-inside'
    FEW_SLOTS = 'few-slots'
    FASTER = 'faster'
    NONE_OUTSIDE = 'none-outside'
    REFUSED_OUTSIDE = 'refused-outside'
    NOT_FASTER = 'not-faster'
    NOT_WORTH_THE_BYTES = 'not-worth-the-bytes'
    NOT_DRAWN = 'not-drawn'


LEAVING = frozenset(
    (
        ZoneReason.NONE_INSIDE,
        ZoneReason.SICK_INSIDE,
        ZoneReason.LATE_INSIDE,
        ZoneReason.FEW_SLOTS,
        ZoneReason.FASTER,
    )
)


@dataclass(frozen=True, slots=True, kw_only=True)
class SpillRequest:
    """The request that a decision is for.

    ``objective`` is its latency objective in seconds. Its answer is late after
    ``due_at`` and lost after ``deadline``, in monotonic seconds. With
    ``avoid_risk`` it cannot be retried. ``draw`` is a random number from 0 to
    1; the lower it is, the sooner the request leaves. ``refusals`` counts
    those by targets of other zones.
    """

    service: str
    objective: float
    due_at: float
    deadline: float
    avoid_risk: bool
    draw: float
    refusals: int = 0

    @property
    def risk_seconds(self) -> float:
        """The wait that is as bad as a certain failure."""
        objectives = RETRIED_FAILURE_OBJECTIVES
        if self.avoid_risk:
            objectives = FAILURE_OBJECTIVES
        return objectives * self.objective


@dataclass(slots=True)
class _ServiceState:
    """The share of one service; times are monotonic seconds.

    ``crossings`` counts attempts sent to other zones.
    """

    needs: ServiceNeeds = field(default_factory=ServiceNeeds)
    slots: SlotCounts = field(default_factory=SlotCounts)
    share: float = START_SHARE
    stepped_at: float = float('-inf')
    logged_at: float = float('-inf')
    logged_share: float = START_SHARE
    crossings: int = 0


@dataclass(slots=True)
class ZoneSpill:
    """The share of each service's requests that may leave the zone.

    The share moves by steps, and each request draws whether it is part of it.
    So the entries of a full zone that all turn to the same free zone leave it
    by steps once it is full too.
    """

    clock: Clock
    rng: random.Random
    events: EventLog | None = None
    round_trip_seconds: float = DEFAULT_ROUND_TRIP_SECONDS
    _entries: SlotCounts = field(default_factory=SlotCounts)
    _services: dict[str, _ServiceState] = field(default_factory=dict)

    def set_targets(self, zone: str, targets: Iterable[Target]) -> None:
        """Learn how many slots the zone and the fleet have by the list.

        :param zone: the own zone.
        :param targets: all listed targets, each with an entry beside it.
        """
        self._entries = SlotCounts()
        for state in self._services.values():
            state.slots = SlotCounts()
        for target in targets:
            is_inside = target.zone == zone
            self._entries.add(1, is_inside=is_inside)
            slots = self._state(target.service).slots
            slots.add(target.slots, is_inside=is_inside)

    def draw(self) -> float:
        """Return a random number from 0 to 1, for ``SpillRequest``."""
        return self.rng.random()

    def judge(
        self, request: SpillRequest, inside: ZoneView, outside: ZoneView
    ) -> ZoneReason:
        """Return why a request leaves or stays.

        :param request: the request.
        :param inside: the targets of the own zone that it may go to.
        :param outside: those of other zones.
        """
        if math.isinf(outside.wait):
            return ZoneReason.NONE_OUTSIDE
        if math.isinf(inside.wait):
            return ZoneReason.NONE_INSIDE
        if request.refusals >= MAX_REFUSALS_OUTSIDE:
            return ZoneReason.REFUSED_OUTSIDE
        return self._judge_times(request, inside, outside)

    def expects_room(self, request: SpillRequest, outside: ZoneView) -> bool:
        """Whether a slot is expected outside without a wait that matters.

        :param request: the request.
        :param outside: the targets of other zones.
        """
        price = request.objective * self._state(request.service).needs.price
        return outside.wait <= price

    def on_attempt_started(self, service: str, *, is_inside: bool) -> None:
        """Count an attempt.

        :param service: its service.
        :param is_inside: whether its target is in the own zone.
        """
        state = self._state(service)
        state.needs.add_attempts(1, self.clock.now())
        state.crossings += not is_inside

    def on_attempt_ended(self, service: str) -> None:
        """Count the end of an attempt.

        :param service: its service.
        """
        self._state(service).needs.add_attempts(-1, self.clock.now())

    def on_crossing(self, service: str, *, was_taken: bool) -> None:
        """Move the share by what became of an attempt in another zone.

        :param service: its service.
        :param was_taken: whether a target took it, rather than refused it.
        """
        now = self.clock.now()
        state = self._state(service)
        if now - state.stepped_at < STEP_SECONDS:
            return
        step = STEP_SHARE if was_taken else -STEP_SHARE
        share = min(1.0, max(MIN_SHARE, state.share + step))
        if share != state.share:
            state.share = share
            state.stepped_at = now
            self._log(service, state, now)

    def on_answer(
        self, service: str, size: int, seconds: float | None = None
    ) -> None:
        """Learn from an answer what requests to a service need.

        :param service: the service.
        :param size: size of the bodies of request and answer in bytes.
        :param seconds: time until the answer, None if it includes a wait.
        """
        self._state(service).needs.on_answer(size, seconds)

    def on_round_trip(self, seconds: float) -> None:
        """Learn how long a message to another zone and its reply take.

        :param seconds: the time of one exchange.
        """
        change = seconds - self.round_trip_seconds
        self.round_trip_seconds += NEWEST_ROUND_TRIP_WEIGHT * change

    def kilobytes(self, service: str) -> float:
        """Return the mean size of a service's exchanges, without heads.

        :param service: name of the service.
        """
        return self._state(service).needs.kilobytes

    def work_seconds(self, service: str) -> float:
        """Return the mean time until an answer without a wait, in seconds.

        :param service: name of the service.
        """
        return self._state(service).needs.work_seconds

    def shares(self) -> dict[str, float]:
        """Return the share of each service's requests that may leave."""
        return {name: one.share for name, one in self._services.items()}

    def crossings(self) -> dict[str, float]:
        """Return how many attempts went to other zones, by service."""
        return {name: one.crossings for name, one in self._services.items()}

    def _state(self, service: str) -> _ServiceState:
        return self._services.setdefault(service, _ServiceState())

    def _judge_times(
        self, request: SpillRequest, inside: ZoneView, outside: ZoneView
    ) -> ZoneReason:
        gain, price = self._weigh(request, inside, outside)
        if gain <= 0:
            return ZoneReason.NOT_FASTER
        risk_gain = request.risk_seconds * (inside.risk - outside.risk)
        if request.avoid_risk and min(gain, risk_gain) > price:
            return ZoneReason.SICK_INSIDE
        state = self._state(request.service)
        if self._is_late_inside(request, state.needs, inside, outside):
            return ZoneReason.LATE_INSIDE
        now = self.clock.now()
        shortage = state.needs.shortage(state.slots, self._entries, now)
        if request.draw < shortage:
            return ZoneReason.FEW_SLOTS
        if gain <= price:
            return ZoneReason.NOT_WORTH_THE_BYTES
        is_drawn = request.draw < state.share
        return ZoneReason.FASTER if is_drawn else ZoneReason.NOT_DRAWN

    def _weigh(
        self, request: SpillRequest, inside: ZoneView, outside: ZoneView
    ) -> tuple[float, float]:
        """Return what leaving gains, and its price, both in seconds of wait."""
        price = request.objective * self._state(request.service).needs.price
        gain = inside.wait - outside.wait - self.round_trip_seconds
        risk_change = inside.risk - outside.risk
        return gain + request.risk_seconds * risk_change, price

    def _is_late_inside(
        self,
        request: SpillRequest,
        needs: ServiceNeeds,
        inside: ZoneView,
        outside: ZoneView,
    ) -> bool:
        """Whether a request would be late inside the zone and not outside."""
        now = self.clock.now()
        limit = request.due_at
        if limit - needs.work_seconds < now:
            limit = request.deadline
        slack = limit - needs.work_seconds - now
        return outside.wait + self.round_trip_seconds <= slack < inside.wait

    def _log(self, service: str, state: _ServiceState, now: float) -> None:
        if self.events is None or (
            now - state.logged_at < LOG_INTERVAL_SECONDS
        ):
            return
        self.events.emit(
            'zone-share-changed',
            service=service,
            former=f'{state.logged_share:.3f}',
            share=f'{state.share:.3f}',
            demand=f'{state.needs.demand:.2f}',
            slots=state.slots.zone,
            round_trip_ms=f'{self.round_trip_seconds * 1000:.1f}',
            kilobytes=f'{state.needs.kilobytes:.1f}',
        )
        state.logged_at = now
        state.logged_share = state.share
