"""How long a connection to the target may rest before it is used again."""

from clementinedeal._timers import Clock

# A target that forgets resting connections is believed to go on for so long:
# the users' drills of it last 5 to 7 s.
LEARNED_SECONDS = 10.0
# What was forgotten had rested longer than the target's own limit, by how
# much is not known.
LEARNED_SHARE = 0.5


class RestLimit:
    """Learns from requests that found their connection forgotten."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing learned.

        :param clock: monotonic time.
        """
        self._clock = clock
        self._limit = float('inf')
        self._until = float('-inf')

    def on_forgotten(self, rested: float) -> None:
        """Take in that a request was lost on a connection that had rested.

        :param rested: how long it had rested, in seconds.
        """
        self._limit = min(self.seconds(), rested * LEARNED_SHARE)
        self._until = self._clock.now() + LEARNED_SECONDS

    def seconds(self) -> float:
        """Return the longest rest to trust; infinite if nothing is known."""
        learned = self._clock.now() < self._until
        return self._limit if learned else float('inf')
