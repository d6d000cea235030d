"""Decides which requests leave the availability zone, and how many.

Traffic between zones is slower and charged for. A request leaves only if it is
expected to be answered so much sooner that this is worth the bytes, or if it
would be late otherwise.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._types import Target
from clementinedeal.mesh._zone_view import ZoneView

# A kilobyte between zones is worth this fraction of the latency objective, so
# that urgent requests leave earlier than patient ones.
OBJECTIVE_FRACTION_PER_KILOBYTE = 0.06
# Heads of an exchange between entry and owner, and the questions before it.
EXCHANGE_OVERHEAD_KILOBYTES = 2.0
BYTES_PER_KILOBYTE = 1024
# Weight of the newest exchange in the mean size and time of a service's.
NEWEST_EXCHANGE_WEIGHT = 0.1
# The share of requests that may leave moves by these steps, at most one in an
# interval. It rises if leaving pays, and falls if it would not even if the
# bytes cost nothing; in between it stays.
STEP_SECONDS = 0.25
STEP_UP = 0.25
STEP_DOWN = 0.125
# A request that cannot be retried leaves for a target outside whose risk is
# lower by this much.
RISK_MARGIN = 0.15
# Time constant of the mean number of requests that this entry has in flight.
DEMAND_SECONDS = 5.0
DEFAULT_ROUND_TRIP_SECONDS = 0.002
# After this many refusals by other zones a request goes there no more, unless
# it can go to no target of its own zone.
MAX_REFUSALS_OUTSIDE = 2
# Shortest time between two log lines on the same service.
LOG_INTERVAL_SECONDS = 1.0


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


@dataclass(slots=True)
class _ServiceState:
    """What is known of one service; times are monotonic seconds.

    ``demand`` is the mean number of attempts in flight. ``slots`` are those of
    the own zone's targets, ``crossings`` counts attempts sent to other zones.
    """

    share: float = 0.0
    stepped_at: float = float('-inf')
    logged_at: float = float('-inf')
    logged_share: float = 0.0
    kilobytes: float = 0.0
    work_seconds: float = 0.0
    in_flight: int = 0
    demand: float = 0.0
    demand_at: float = 0.0
    slots: int = 0
    fleet_slots: int = 0
    crossings: int = 0


@dataclass(slots=True)
class ZoneSpill:
    """The share of each service's requests that may leave the zone.

    The share moves by steps, and each request draws whether it is part of it.
    So the entries of a full zone do not all turn to the same free zone, and do
    not all turn back at once.
    """

    clock: Clock
    rng: random.Random
    events: EventLog | None = None
    round_trip_seconds: float = DEFAULT_ROUND_TRIP_SECONDS
    _zone_entries: int = 1
    _fleet_entries: int = 1
    _services: dict[str, _ServiceState] = field(default_factory=dict)

    def set_targets(self, zone: str, targets: Iterable[Target]) -> None:
        """Learn how many slots the zone and the fleet have by the list.

        :param zone: the own zone.
        :param targets: all listed targets, each with an entry beside it.
        """
        for state in self._services.values():
            state.slots = 0
            state.fleet_slots = 0
        self._zone_entries = 0
        self._fleet_entries = 0
        for target in targets:
            self._add_target(target, is_inside=target.zone == zone)

    def draw(self) -> float:
        """Return a random number from 0 to 1, for ``SpillRequest``."""
        return self.rng.random()

    def should_leave(
        self, request: SpillRequest, inside: ZoneView, outside: ZoneView
    ) -> bool:
        """Return whether a request should go to a target of another zone.

        :param request: the request.
        :param inside: the targets of the own zone that it may go to.
        :param outside: those of other zones.
        """
        if math.isinf(outside.wait):
            return False
        if math.isinf(inside.wait):
            return True
        if request.refusals >= MAX_REFUSALS_OUTSIDE:
            return False
        risk_change = inside.risk - outside.risk
        if request.avoid_risk and risk_change > RISK_MARGIN:
            return True
        state = self._state(request.service)
        gain = inside.wait - outside.wait - self.round_trip_seconds
        price = request.objective * self._price(state)
        self._step(request.service, state, gain, price)
        if gain <= 0:
            return False
        return (
            self._is_late_inside(request, state, inside, outside)
            or request.draw < self._shortage(state)
            or (gain > price and request.draw < state.share)
        )

    def expects_room(self, request: SpillRequest, outside: ZoneView) -> bool:
        """Whether a slot is expected outside without a wait that matters.

        :param request: the request.
        :param outside: the targets of other zones.
        """
        price = request.objective * self._price(self._state(request.service))
        return outside.wait <= price

    def on_attempt_started(self, service: str, *, is_inside: bool) -> None:
        """Count an attempt.

        :param service: its service.
        :param is_inside: whether its target is in the own zone.
        """
        state = self._state(service)
        self._update_demand(state)
        state.in_flight += 1
        state.crossings += not is_inside

    def on_attempt_ended(self, service: str) -> None:
        """Count the end of an attempt.

        :param service: its service.
        """
        state = self._state(service)
        self._update_demand(state)
        state.in_flight = max(0, state.in_flight - 1)

    def on_answer(
        self, service: str, size: int, seconds: float | None = None
    ) -> None:
        """Learn from an answer what requests to a service need.

        :param service: the service.
        :param size: size of the bodies of request and answer in bytes.
        :param seconds: time until the answer, None if it includes a wait.
        """
        state = self._state(service)
        change = size / BYTES_PER_KILOBYTE - state.kilobytes
        state.kilobytes += NEWEST_EXCHANGE_WEIGHT * change
        if seconds is not None:
            former = state.work_seconds or seconds
            change = seconds - former
            state.work_seconds = former + NEWEST_EXCHANGE_WEIGHT * change

    def on_round_trip(self, seconds: float) -> None:
        """Learn how long a message to another zone and its reply take.

        :param seconds: the time of one exchange.
        """
        change = seconds - self.round_trip_seconds
        self.round_trip_seconds += NEWEST_EXCHANGE_WEIGHT * change

    def kilobytes(self, service: str) -> float:
        """Return the mean size of a service's exchanges, without heads.

        :param service: name of the service.
        """
        return self._state(service).kilobytes

    def shares(self) -> dict[str, float]:
        """Return the share of each service's requests that may leave."""
        return {name: one.share for name, one in self._services.items()}

    def crossings(self) -> dict[str, float]:
        """Return how many attempts went to other zones, by service."""
        return {name: one.crossings for name, one in self._services.items()}

    def _state(self, service: str) -> _ServiceState:
        return self._services.setdefault(service, _ServiceState())

    def _add_target(self, target: Target, *, is_inside: bool) -> None:
        state = self._state(target.service)
        self._fleet_entries += 1
        state.fleet_slots += target.slots
        if is_inside:
            self._zone_entries += 1
            state.slots += target.slots

    def _price(self, state: _ServiceState) -> float:
        """Return the price of an exchange, as a fraction of the objective."""
        kilobytes = EXCHANGE_OVERHEAD_KILOBYTES + state.kilobytes
        return OBJECTIVE_FRACTION_PER_KILOBYTE * kilobytes

    def _is_late_inside(
        self,
        request: SpillRequest,
        state: _ServiceState,
        inside: ZoneView,
        outside: ZoneView,
    ) -> bool:
        """Whether a request would be late inside the zone and not outside."""
        now = self.clock.now()
        limit = request.due_at
        if limit - state.work_seconds < now:
            limit = request.deadline
        slack = limit - state.work_seconds - now
        return outside.wait + self.round_trip_seconds <= slack < inside.wait

    def _shortage(self, state: _ServiceState) -> float:
        """Return the share of the demand that the zone has too few slots for.

        Each entry is assumed to have the demand of this one. Where the demand
        exceeds the slots of the whole fleet, the zone keeps as much of its
        demand as its part of the slots can serve.
        """
        self._update_demand(state)
        if not state.demand:
            return 0.0
        served = state.slots / (state.demand * max(1, self._zone_entries))
        fleet_slots = max(1, state.fleet_slots)
        slot_part = state.slots / fleet_slots
        entry_part = self._zone_entries / max(1, self._fleet_entries)
        fair = slot_part / entry_part if entry_part else 0.0
        return max(0.0, 1 - max(served, fair))

    def _update_demand(self, state: _ServiceState) -> None:
        now = self.clock.now()
        weight = math.exp((state.demand_at - now) / DEMAND_SECONDS)
        state.demand = state.in_flight + weight * (
            state.demand - state.in_flight
        )
        state.demand_at = now

    def _step(
        self, service: str, state: _ServiceState, gain: float, price: float
    ) -> None:
        """Move the share by one step, at most once in an interval."""
        now = self.clock.now()
        if now - state.stepped_at < STEP_SECONDS:
            return
        former = state.share
        if gain > price:
            state.share = min(1.0, former + STEP_UP)
        elif gain <= 0:
            state.share = max(0.0, former - STEP_DOWN)
        if state.share != former:
            state.stepped_at = now
            self._log(service, state, now)

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
            demand=f'{state.demand:.2f}',
            slots=state.slots,
            round_trip_ms=f'{self.round_trip_seconds * 1000:.1f}',
            kilobytes=f'{state.kilobytes:.1f}',
        )
        state.logged_at = now
        state.logged_share = state.share
