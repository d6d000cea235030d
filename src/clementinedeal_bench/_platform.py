"""State of the platform stand-in: values, instance list, modes, read cap."""

import enum
from collections import deque
from dataclasses import dataclass, field

from result import Err, Ok, Result

VALUE_LIMIT_BYTES = 1_000_000
READS_PER_SECOND = 2000
METER_WINDOW_SECONDS = 1.0


class PlatformMode(enum.Enum):
    """How the stand-in answers readers."""

    UP = 'up'
    DOWN = 'down'
    STALE = 'stale'
    SLOW = 'slow'
    FLAPPING = 'flapping'


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Mode and its figures, in seconds; ``lag`` delays the instance list."""

    mode: PlatformMode = PlatformMode.UP
    slow: float = 1.0
    flap_period: float = 5.0
    lag: float = 0.0


@dataclass(frozen=True, slots=True)
class Versioned:
    """One published body; ``visible`` is when readers first see it."""

    version: int
    body: bytes
    visible: float = 0.0


@dataclass(frozen=True, slots=True)
class Counters:
    """Reads since the start: ``peak`` is the most in any second."""

    reads: int = 0
    refused: int = 0
    waiting: int = 0
    peak: int = 0


class ReadMeter:
    """Counts calls of the last second and the watches older than that."""

    def __init__(self, limit: int = READS_PER_SECOND) -> None:
        """Start at zero.

        :param limit: reads allowed in a second, waiting watches included.
        """
        self._limit = limit
        self._calls: deque[float] = deque()
        self._watches: dict[int, float] = {}
        self._reads = 0
        self._refused = 0
        self._peak = 0

    def admit(self, now: float) -> int | None:
        """Count a call and return its number, or None over the limit.

        :param now: monotonic seconds.
        """
        used = self._used(now)
        if used >= self._limit:
            self._refused += 1
            return None
        self._calls.append(now)
        self._reads += 1
        self._peak = max(self._peak, used + 1)
        return self._reads

    def open_watch(self, call: int, now: float) -> None:
        """Note that an admitted call waits.

        :param call: number of the call.
        :param now: monotonic seconds.
        """
        self._watches[call] = now

    def close_watch(self, call: int) -> None:
        """Note that a watch has ended.

        :param call: number of the call.
        """
        self._watches.pop(call, None)

    def counters(self) -> Counters:
        """Return the counts since the start."""
        return Counters(
            reads=self._reads,
            refused=self._refused,
            waiting=len(self._watches),
            peak=self._peak,
        )

    def _used(self, now: float) -> int:
        oldest = now - METER_WINDOW_SECONDS
        while self._calls and self._calls[0] <= oldest:
            self._calls.popleft()
        held = sum(start <= oldest for start in self._watches.values())
        return len(self._calls) + held


@dataclass(slots=True)
class _Snapshot:
    """What a stale platform goes on serving."""

    taken: float
    heads: dict[str, Versioned] = field(default_factory=dict)


class Platform:
    """Published values and the instance list, as readers see them."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Create an empty platform.

        :param settings: mode and figures to begin with.
        """
        self.settings = settings
        self._history: dict[str, deque[Versioned]] = {}
        self._snapshot = _Snapshot(0.0)
        self._since = 0.0

    def configure(self, settings: PlatformSettings, now: float) -> None:
        """Change the mode; a stale one keeps what is readable now.

        :param settings: the new mode and figures.
        :param now: monotonic seconds.
        """
        heads = {}
        for name in self._history:
            seen = self._newest(name, now)
            if seen is not None:
                heads[name] = seen
        self._snapshot = _Snapshot(now, heads)
        self._since = now
        self.settings = settings

    def publish(
        self,
        name: str,
        body: bytes,
        now: float,
        lag: float = 0.0,
    ) -> Result[Versioned, str]:
        """Publish a body as the next version of a name.

        :param name: name of the value.
        :param body: content, at most a megabyte.
        :param now: monotonic seconds.
        :param lag: seconds until readers see it.
        """
        if len(body) > VALUE_LIMIT_BYTES:
            return Err(f'{name}: {len(body)} bytes, over {VALUE_LIMIT_BYTES}')
        past = self._history.setdefault(name, deque())
        version = past[-1].version + 1 if past else 1
        entry = Versioned(version, body, now + lag)
        past.append(entry)
        return Ok(entry)

    def read(self, name: str, now: float) -> Versioned | None:
        """Return what a reader sees now.

        :param name: name of the value.
        :param now: monotonic seconds.
        """
        if self.settings.mode is PlatformMode.STALE:
            return self._snapshot.heads.get(name)
        return self._newest(name, now)

    def is_down(self, now: float) -> bool:
        """Tell whether readers get no answer now.

        :param now: monotonic seconds.
        """
        if self.settings.mode is PlatformMode.FLAPPING:
            phase = (now - self._since) % (2 * self.settings.flap_period)
            return phase < self.settings.flap_period
        return self.settings.mode is PlatformMode.DOWN

    def delay(self) -> float:
        """Return the seconds by which each answer is delayed."""
        if self.settings.mode is PlatformMode.SLOW:
            return self.settings.slow
        return 0

    def _newest(self, name: str, now: float) -> Versioned | None:
        past = self._history.get(name)
        if not past:
            return None
        while len(past) > 1 and past[1].visible <= now:
            past.popleft()
        return past[0] if past[0].visible <= now else None
