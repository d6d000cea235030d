"""What the requests of one service need, as one entry learns it."""

import math
from dataclasses import dataclass

# A kilobyte between zones is worth this fraction of the latency objective, so
# that urgent requests leave earlier than patient ones.
OBJECTIVE_FRACTION_PER_KILOBYTE = 0.025
# Heads of an exchange between entry and owner, and the questions before it.
EXCHANGE_OVERHEAD_KILOBYTES = 2.0
BYTES_PER_KILOBYTE = 1024
# Weight of the newest exchange in the mean size and time of a service's.
NEWEST_EXCHANGE_WEIGHT = 0.1
# Time constant of the mean number of requests that this entry has in flight.
DEMAND_SECONDS = 5.0


@dataclass(slots=True)
class SlotCounts:
    """Slots of a service, or entries, in the own zone and in the fleet."""

    zone: int = 0
    fleet: int = 0

    def add(self, count: int, *, is_inside: bool) -> None:
        """Add some.

        :param count: how many.
        :param is_inside: whether they are in the own zone.
        """
        self.fleet += count
        if is_inside:
            self.zone += count

    @property
    def zone_part(self) -> float:
        """The zone's part of the fleet, from 0 to 1."""
        return self.zone / max(1, self.fleet)


@dataclass(slots=True)
class ServiceNeeds:
    """Size, time and number of a service's requests.

    ``kilobytes`` is the mean size of the bodies of request and answer,
    ``work_seconds`` the mean time until an answer without a wait. ``demand`` is
    the mean number of attempts in flight at this entry, at the monotonic time
    ``demand_at``.
    """

    kilobytes: float = 0.0
    work_seconds: float = 0.0
    in_flight: int = 0
    demand: float = 0.0
    demand_at: float = 0.0

    @property
    def price(self) -> float:
        """Price of an exchange with another zone, in latency objectives."""
        kilobytes = EXCHANGE_OVERHEAD_KILOBYTES + self.kilobytes
        return OBJECTIVE_FRACTION_PER_KILOBYTE * kilobytes

    def add_attempts(self, change: int, now: float) -> None:
        """Count attempts that start or end.

        :param change: how many more are in flight, negative for fewer.
        :param now: monotonic time in seconds.
        """
        weight = math.exp((self.demand_at - now) / DEMAND_SECONDS)
        self.demand = self.in_flight + weight * (self.demand - self.in_flight)
        self.demand_at = now
        self.in_flight = max(0, self.in_flight + change)

    def on_answer(self, size: int, seconds: float | None) -> None:
        """Learn from an answer.

        :param size: size of the bodies of request and answer in bytes.
        :param seconds: time until the answer, None if it includes a wait.
        """
        change = size / BYTES_PER_KILOBYTE - self.kilobytes
        self.kilobytes += NEWEST_EXCHANGE_WEIGHT * change
        if seconds is not None:
            former = self.work_seconds or seconds
            change = seconds - former
            self.work_seconds = former + NEWEST_EXCHANGE_WEIGHT * change

    def shortage(
        self, slots: SlotCounts, entries: SlotCounts, now: float
    ) -> float:
        """Return the share of the demand that the zone has too few slots for.

        Each entry is assumed to have the demand of this one. Where the demand
        exceeds the slots of the whole fleet, the zone keeps as much of its
        demand as its part of the slots can serve.

        :param slots: the slots of the service.
        :param entries: the entries of all services.
        :param now: monotonic time in seconds.
        """
        self.add_attempts(0, now)
        demand = self.demand * entries.zone
        if not demand:
            return 0.0
        fair = slots.zone_part / entries.zone_part
        return max(0.0, 1 - max(slots.zone / demand, fair))
