"""Learns how long a connection to the target may be idle before its next use.

A target may drop idle connections without closing them; the next request on
such a connection is lost.
"""

from clementinedeal._timers import Clock

# A target that dropped an idle connection is assumed to keep doing so for this
# long: in the users' fault tests such phases last 5 to 7 s.
LIMIT_LIFETIME_SECONDS = 10.0
# The dropped connection was idle for longer than the target's limit, by an
# unknown time. The learned limit is this fraction of its idle time.
LEARNED_LIMIT_FRACTION = 0.5


class IdleLimit:
    """Limit on the idle time of connections, learned from lost requests."""

    def __init__(self, clock: Clock) -> None:
        """Create a limit that allows any idle time.

        :param clock: monotonic time.
        """
        self._clock = clock
        self._limit = float('inf')
        self._expires_at = float('-inf')

    def on_connection_forgotten(self, idle_seconds: float) -> None:
        """Lower the limit after a request was lost on an idle connection.

        :param idle_seconds: how long the connection had been idle.
        """
        self._limit = min(
            self.max_idle_seconds(), idle_seconds * LEARNED_LIMIT_FRACTION
        )
        self._expires_at = self._clock.now() + LIMIT_LIFETIME_SECONDS

    def max_idle_seconds(self) -> float:
        """Return the longest idle time to allow, infinite if none is known."""
        learned = self._clock.now() < self._expires_at
        return self._limit if learned else float('inf')
