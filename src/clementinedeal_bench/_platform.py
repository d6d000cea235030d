"""State of the platform stand-in: values, instance list, modes, read limit.

The platform is the external store from which daemons read their configuration
and the list of instances.
"""

import enum
from collections import deque
from dataclasses import dataclass, field

from result import Err, Ok, Result

MAX_VALUE_BYTES = 1_000_000
MAX_READS_PER_SECOND = 2000
READ_WINDOW_SECONDS = 1.0


class PlatformMode(enum.Enum):
    """How the stand-in answers readers.

    ``DOWN`` gives no answer, ``STALE`` keeps serving the values that were
    visible when the mode was set, ``SLOW`` delays each answer, and ``FLAPPING``
    alternates between down and up.
    """

    UP = 'up'
    DOWN = 'down'
    STALE = 'stale'
    SLOW = 'slow'
    FLAPPING = 'flapping'


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """A mode and its parameters, as set over ``PUT /operator/mode``.

    :param mode: the current mode.
    :param slow: seconds by which ``SLOW`` delays each answer.
    :param flap_period: seconds of each half of ``FLAPPING``, down and up.
    :param lag: seconds until readers see a new instance list, in any mode.
    """

    mode: PlatformMode = PlatformMode.UP
    slow: float = 1.0
    flap_period: float = 5.0
    lag: float = 0.0


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """One version of a value.

    ``visible_at`` is the monotonic time in seconds from which readers see it.
    """

    version: int
    body: bytes
    visible_at: float = 0.0


@dataclass(frozen=True, slots=True)
class ReadCounters:
    """Counts of reads since the start, as served to operators.

    :param reads: reads that were admitted.
    :param refused: reads that were refused over the limit.
    :param waiting: watches that wait now.
    :param peak: highest load at the admission of a read (see ``ReadLimiter``).
    """

    reads: int = 0
    refused: int = 0
    waiting: int = 0
    peak: int = 0


class ReadLimiter:
    """Limits the reads per second of all readers together.

    The load is the number of calls admitted within the last second plus the
    number of watches that have waited for longer.
    """

    def __init__(
        self, max_reads_per_second: int = MAX_READS_PER_SECOND
    ) -> None:
        """Create a limiter without calls.

        :param max_reads_per_second: highest load, waiting watches included.
        """
        self._max_reads_per_second = max_reads_per_second
        self._call_times: deque[float] = deque()
        self._watch_starts: dict[int, float] = {}
        self._reads = 0
        self._refused = 0
        self._peak = 0

    def admit(self, now: float) -> int | None:
        """Admit a call and return its number, or None if the limit is reached.

        :param now: monotonic seconds.
        """
        load = self._count_load(now)
        if load >= self._max_reads_per_second:
            self._refused += 1
            return None
        self._call_times.append(now)
        self._reads += 1
        self._peak = max(self._peak, load + 1)
        return self._reads

    def start_watch(self, call_number: int, now: float) -> None:
        """Record that an admitted call, a watch, waits for a newer version.

        :param call_number: number of the call from ``admit``.
        :param now: monotonic seconds.
        """
        self._watch_starts[call_number] = now

    def end_watch(self, call_number: int) -> None:
        """Record that a call no longer waits.

        :param call_number: number of the call from ``admit``.
        """
        self._watch_starts.pop(call_number, None)

    def counters(self) -> ReadCounters:
        """Return the counts since the start."""
        return ReadCounters(
            reads=self._reads,
            refused=self._refused,
            waiting=len(self._watch_starts),
            peak=self._peak,
        )

    def _count_load(self, now: float) -> int:
        window_start = now - READ_WINDOW_SECONDS
        while self._call_times and self._call_times[0] <= window_start:
            self._call_times.popleft()
        long_watches = sum(
            start <= window_start for start in self._watch_starts.values()
        )
        return len(self._call_times) + long_watches


@dataclass(slots=True)
class _Snapshot:
    """Values by name that a stale platform serves, and when they were taken."""

    taken_at: float
    values: dict[str, PublishedValue] = field(default_factory=dict)


class Platform:
    """Published values by name, as readers see them.

    The instance list is a value as well.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        """Create an empty platform.

        :param settings: the first mode and its parameters.
        """
        self.settings = settings
        self._versions: dict[str, deque[PublishedValue]] = {}
        self._snapshot = _Snapshot(0.0)
        self._configured_at = 0.0

    def configure(self, settings: PlatformSettings, now: float) -> None:
        """Change the mode; ``STALE`` keeps the values visible now.

        :param settings: the new mode and its parameters.
        :param now: monotonic seconds.
        """
        newest = {}
        for name in self._versions:
            published = self._newest_visible(name, now)
            if published is not None:
                newest[name] = published
        self._snapshot = _Snapshot(now, newest)
        self._configured_at = now
        self.settings = settings

    def publish(
        self,
        name: str,
        body: bytes,
        now: float,
        lag_seconds: float = 0.0,
    ) -> Result[PublishedValue, str]:
        """Publish a body as the next version of a name.

        The error is a text for a body of more than ``MAX_VALUE_BYTES``.

        :param name: name of the value.
        :param body: content of the value.
        :param now: monotonic seconds.
        :param lag_seconds: delay until readers see it.
        """
        if len(body) > MAX_VALUE_BYTES:
            return Err(
                f'value {name}: {len(body)} bytes, expected at most '
                f'{MAX_VALUE_BYTES}'
            )
        versions = self._versions.setdefault(name, deque())
        version = versions[-1].version + 1 if versions else 1
        published = PublishedValue(version, body, now + lag_seconds)
        versions.append(published)
        return Ok(published)

    def read(self, name: str, now: float) -> PublishedValue | None:
        """Return the version that a reader sees, None if there is none.

        :param name: name of the value.
        :param now: monotonic seconds.
        """
        if self.settings.mode is PlatformMode.STALE:
            return self._snapshot.values.get(name)
        return self._newest_visible(name, now)

    def is_down(self, now: float) -> bool:
        """Return whether readers get no answer now.

        :param now: monotonic seconds.
        """
        if self.settings.mode is PlatformMode.FLAPPING:
            phase = (now - self._configured_at) % (
                2 * self.settings.flap_period
            )
            return phase < self.settings.flap_period
        return self.settings.mode is PlatformMode.DOWN

    def answer_delay_seconds(self) -> float:
        """Return the delay of each answer."""
        if self.settings.mode is PlatformMode.SLOW:
            return self.settings.slow
        return 0

    def _newest_visible(self, name: str, now: float) -> PublishedValue | None:
        versions = self._versions.get(name)
        if not versions:
            return None
        while len(versions) > 1 and versions[1].visible_at <= now:
            versions.popleft()
        return versions[0] if versions[0].visible_at <= now else None
