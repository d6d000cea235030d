"""Decides when callers return that were refused for the limits of targets."""

from clementinedeal._timers import Clock


class ReturnSchedule:
    """Spreads returns evenly, at this daemon's share of the limits.

    Callers that all return at once would be refused again.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a schedule without returns.

        :param clock: monotonic time.
        """
        self._clock = clock
        self._returns_until: dict[str, float] = {}

    def add(
        self, service: str, limit: float, daemon_count: int, timeout: float
    ) -> float:
        """Return after how many seconds the next caller should return.

        :param service: the service that refused it.
        :param limit: requests per second that the service's targets take.
        :param daemon_count: daemons that share the limit.
        :param timeout: the longest time, in seconds.
        """
        now = self._clock.now()
        returns_at = now + timeout
        if limit:
            former = max(now, self._returns_until.get(service, now))
            returns_at = min(returns_at, former + daemon_count / limit)
        self._returns_until[service] = returns_at
        return returns_at - now
