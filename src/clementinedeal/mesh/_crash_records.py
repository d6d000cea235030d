"""Remembers requests that crash their targets, whoever sends them.

A caller that gets no answer sends its request again, and others may send the
same. Daemons tell each other of each crash and the requests suspected of it.
"""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import TypeAlias

import msgspec
import xxhash

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._rate_limiter import Datagrams
from clementinedeal.mesh._target_client import BufferedRequest

# A request that was under way at the crash of one target may have been beside
# the one that caused it; at two it is unlikely.
CRASHES_TO_REFUSE = 2
# How long such a request is refused after the newest crash; then it may run
# again, for its targets may have been mended.
REFUSE_SECONDS = 60.0
FORGET_SECONDS = 600.0
MAX_RECORDS = 1024
# A longer body is identified by its beginning and its length.
MAX_HASHED_BODY_BYTES = 65_536


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag='crash'):
    """A target went down as it began a request.

    ``fingerprint`` identifies the request, ``target`` and ``started_ms`` the
    target's process.
    """

    fingerprint: int
    target: str
    started_ms: int


class CrashCleared(msgspec.Struct, frozen=True, array_like=True, tag='cleared'):
    """A target has answered a request that was suspected of a crash."""

    fingerprint: int


CrashMessage: TypeAlias = CrashNotice | CrashCleared


@dataclass(slots=True)
class CrashRecord:
    """The crashes that one request is suspected of.

    ``processes`` are those that went down, ``crashed_at`` is the time of the
    newest crash in monotonic seconds.
    """

    processes: set[tuple[str, int]] = field(default_factory=set)
    crashed_at: float = -math.inf


class CrashRecords:
    """Which requests must not be sent because they crash their targets.

    A request that any target has answered since is not suspect.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        datagrams: Datagrams,
        hosts: Callable[[], Collection[str]],
    ) -> None:
        """Start without records.

        :param clock: monotonic time.
        :param events: log of requests that are refused from now on.
        :param datagrams: sends notices to other daemons.
        :param hosts: returns the IP addresses of all instances.
        """
        self._clock = clock
        self._events = events
        self._datagrams = datagrams
        self._hosts = hosts
        # the one with the oldest crash first
        self._records: dict[int, CrashRecord] = {}

    async def report(self, notice: CrashNotice) -> None:
        """Record a crash and tell the other daemons of it.

        :param notice: the crash.
        """
        self.on_notice(notice)
        await self._send(notice)

    def on_message(self, message: CrashMessage) -> None:
        """Apply what another daemon tells.

        :param message: a crash, or a request that is not suspect any more.
        """
        if isinstance(message, CrashNotice):
            self.on_notice(message)
        else:
            self._records.pop(message.fingerprint, None)

    def on_notice(self, notice: CrashNotice) -> None:
        """Record a crash.

        :param notice: the crash.
        """
        now = self._clock.now()
        record = self._records.pop(notice.fingerprint, CrashRecord())
        if now - record.crashed_at > FORGET_SECONDS:
            record = CrashRecord()
        record.processes.add((notice.target, notice.started_ms))
        record.crashed_at = now
        self._records[notice.fingerprint] = record
        if len(self._records) > MAX_RECORDS:
            self._records.pop(next(iter(self._records)))
        if len(record.processes) >= CRASHES_TO_REFUSE:
            self._events.emit(
                'request-quarantined',
                fingerprint=f'{notice.fingerprint:016x}',
                crashes=len(record.processes),
                target=notice.target,
            )

    async def on_answered(self, fingerprint: int) -> None:
        """Clear a request that a target has answered, at every daemon.

        :param fingerprint: identifies the request.
        """
        if self._records.pop(fingerprint, None) is not None:
            await self._send(CrashCleared(fingerprint))

    def seconds_refused(self, fingerprint: int) -> float:
        """Return for how long a request must not be sent, 0 if it may be.

        :param fingerprint: identifies the request.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return 0
        age = self._clock.now() - record.crashed_at
        if age > FORGET_SECONDS:
            del self._records[fingerprint]
            return 0
        if len(record.processes) < CRASHES_TO_REFUSE:
            return 0
        return max(0, REFUSE_SECONDS - age)

    async def _send(self, message: CrashMessage) -> None:
        for host in self._hosts():
            await self._datagrams.send(host, message)


def fingerprint_request(request: BufferedRequest) -> int:
    """Return a number that is the same for equal requests of all callers.

    :param request: the request; host, method, path and body count.
    """
    digest = xxhash.xxh64(f'{request.method} {request.path}'.encode())
    for key, text in request.headers:
        if key == b'host':
            digest.update(text)
    digest.update(b'%d' % len(request.body))
    digest.update(request.body[:MAX_HASHED_BODY_BYTES])
    return digest.intdigest()
