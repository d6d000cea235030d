"""Processor time of another process, idle and busy."""

import os
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

UTIME_FIELD = 11  # field after the command's closing bracket
STIME_FIELD = 12


class DaemonCost(msgspec.Struct, frozen=True):
    """Processor time of a daemon: user and system, as a share of a core."""

    requests: int
    idle_core_share: float
    busy_core_share: float
    requests_per_core_second: float


class CoreMeter:
    """Processor time of a process while idle and while busy."""

    def __init__(self, pid: int) -> None:
        """Begin the idle time.

        :param pid: the process.
        """
        self._pid = pid
        self._period_start = self._read_usage()
        self._idle_usage = self._period_start
        self._busy_usage = self._period_start

    def end_idle(self) -> None:
        """End the idle time."""
        self._idle_usage = self._usage_since_start()

    def begin_busy(self) -> None:
        """Begin the busy time."""
        self._period_start = self._read_usage()

    def end_busy(self) -> None:
        """End the busy time."""
        self._busy_usage = self._usage_since_start()

    def cost(self, requests: int) -> DaemonCost:
        """Return the figures.

        :param requests: requests of the busy time.
        """
        return DaemonCost(
            requests=requests,
            idle_core_share=self._idle_usage.core_fraction,
            busy_core_share=self._busy_usage.core_fraction,
            requests_per_core_second=requests / self._busy_usage.core_seconds,
        )

    def _usage_since_start(self) -> 'CoreUsage':
        now = self._read_usage()
        return CoreUsage(
            now.elapsed_seconds - self._period_start.elapsed_seconds,
            now.core_seconds - self._period_start.core_seconds,
        )

    def _read_usage(self) -> 'CoreUsage':
        stat = Path(f'/proc/{self._pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])
        return CoreUsage(time.monotonic(), ticks / os.sysconf('SC_CLK_TCK'))


@dataclass(frozen=True, slots=True)
class CoreUsage:
    """Elapsed time and processor time, both in seconds."""

    elapsed_seconds: float
    core_seconds: float

    @property
    def core_fraction(self) -> float:
        """Return the share of a core that was used."""
        return self.core_seconds / self.elapsed_seconds
