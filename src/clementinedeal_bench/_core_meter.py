"""Processor time of another process, idle and busy."""

import os
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

STAT_UTIME = 11  # field after the command's closing bracket
STAT_STIME = 12


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
        self._begin = self._read()
        self._idle = self._begin
        self._busy = self._begin

    def end_idle(self) -> None:
        """End the idle time."""
        self._idle = self._since_begin()

    def begin_busy(self) -> None:
        """Begin the busy time."""
        self._begin = self._read()

    def end_busy(self) -> None:
        """End the busy time."""
        self._busy = self._since_begin()

    def cost(self, requests: int) -> DaemonCost:
        """Return the figures.

        :param requests: requests of the busy time.
        """
        return DaemonCost(
            requests=requests,
            idle_core_share=self._idle.core_share,
            busy_core_share=self._busy.core_share,
            requests_per_core_second=requests / self._busy.core_seconds,
        )

    def _since_begin(self) -> 'Usage':
        now = self._read()
        return Usage(
            now.seconds - self._begin.seconds,
            now.core_seconds - self._begin.core_seconds,
        )

    def _read(self) -> 'Usage':
        stat = Path(f'/proc/{self._pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[STAT_UTIME]) + int(fields[STAT_STIME])
        return Usage(time.monotonic(), ticks / os.sysconf('SC_CLK_TCK'))


@dataclass(frozen=True, slots=True)
class Usage:
    """Elapsed time and processor time, both in seconds."""

    seconds: float
    core_seconds: float

    @property
    def core_share(self) -> float:
        """Return the share of a core that was used."""
        return self.core_seconds / self.seconds
