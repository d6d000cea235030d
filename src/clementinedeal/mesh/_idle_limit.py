"""How long a connection to the target may rest before it is used again."""

from clementinedeal._timers import Clock

# A target that forgets resting connections is believed to go on for so long:
# the users' drills of it last 5 to 7 s.
LIMIT_LIFETIME_SECONDS = 10.0
# What was forgotten had rested longer than the target's own limit, by how
# much is not known.
LEARNED_LIMIT_FRACTION = 0.5


class IdleLimit:
    """Learns from requests that found their connection forgotten."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing learned.

        :param clock: monotonic time.
        """
        self._clock = clock
        self._limit = float('inf')
        self._expires_at = float('-inf')

    def on_connection_forgotten(self, idle_seconds: float) -> None:
        """Take in that a request was lost on a connection that had rested.

        :param rested: how long it had rested, in seconds.
        """
        self._limit = min(
            self.max_idle_seconds(), idle_seconds * LEARNED_LIMIT_FRACTION
        )
        self._expires_at = self._clock.now() + LIMIT_LIFETIME_SECONDS

    def max_idle_seconds(self) -> float:
        """Return the longest rest to trust; infinite if nothing is known."""
        learned = self._clock.now() < self._expires_at
        return self._limit if learned else float('inf')
