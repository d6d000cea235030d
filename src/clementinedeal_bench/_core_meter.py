"""Processor time that another process uses while idle and while busy."""

import os
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

# Fields of /proc/PID/stat, counted from 0 after the command's closing
# bracket: processor time in user and in system mode, in clock ticks.
UTIME_FIELD = 11
STIME_FIELD = 12


class DaemonCost(msgspec.Struct, frozen=True):
    """Processor time of a daemon, in user and system mode.

    :param requests: requests of the busy period.
    :param idle_core_share: fraction of one core used in the idle period.
    :param busy_core_share: fraction of one core used in the busy period.
    :param requests_per_core_second: requests per second of processor time in
        the busy period.
    """

    requests: int
    idle_core_share: float
    busy_core_share: float
    requests_per_core_second: float


class CoreMeter:
    """Measures the processor time of a process in an idle and a busy period.

    The constructor begins the idle period. The methods are called in the order
    ``end_idle``, ``begin_busy``, ``end_busy``, ``cost``.
    """

    def __init__(self, pid: int) -> None:
        """Begin the idle period.

        :param pid: id of the process.
        """
        self._pid = pid
        self._period_start = self._read_usage()
        self._idle_usage = self._period_start
        self._busy_usage = self._period_start

    def end_idle(self) -> None:
        """End the idle period."""
        self._idle_usage = self._usage_since_start()

    def begin_busy(self) -> None:
        """Begin the busy period."""
        self._period_start = self._read_usage()

    def end_busy(self) -> None:
        """End the busy period."""
        self._busy_usage = self._usage_since_start()

    def cost(self, requests: int) -> DaemonCost:
        """Return the cost of both periods.

        :param requests: number of requests in the busy period.
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
    """Use of the processor by one process.

    :param elapsed_seconds: elapsed time.
    :param core_seconds: processor time in user and system mode.
    """

    elapsed_seconds: float
    core_seconds: float

    @property
    def core_fraction(self) -> float:
        """Return the fraction of one core that was used."""
        return self.core_seconds / self.elapsed_seconds
