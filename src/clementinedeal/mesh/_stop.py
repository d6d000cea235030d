"""A planned stop: what was read is answered before the process ends."""

from dataclasses import dataclass

import trio

from clementinedeal._events import EventLog
from clementinedeal._http_server import HttpServer
from clementinedeal._timers import Clock
from clementinedeal.mesh._admission import Admission
from clementinedeal.mesh._owner import MeshOwner
from clementinedeal.mesh._sender import Sender

# Callers see that the daemon takes no new work at the second ready check
# that fails, one a second; until then it serves as before.
NOTICE_SECONDS = 2.5
# Kept before the platform kills the process: for the tasks to end and for the
# interpreter, which takes 0.05 s of a whole core.
KILL_MARGIN_SECONDS = 0.4
# Kept before that for the last answers to be written and read.
LAST_ANSWERS_SECONDS = 0.2
FINISH_POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class StopParts:
    """What a stop ends: ``callers`` is one of the ``servers``."""

    clock: Clock
    events: EventLog
    admission: Admission
    sender: Sender
    owner: MeshOwner
    caller_server: HttpServer
    servers: tuple[HttpServer, ...]


class PlannedStop:
    """Takes a daemon out of service."""

    def __init__(self, parts: StopParts) -> None:
        """Create a stop that has not begun.

        :param parts: what it ends.
        """
        self._parts = parts

    async def run(self, grace: float) -> None:
        """Return when the process may end.

        :param grace: seconds from now until the process is killed.
        """
        started = self._parts.clock.now()
        ends_at = started + grace - KILL_MARGIN_SECONDS
        self._start_draining()
        self._emit_load('daemon-draining', started)
        answered_by = ends_at - LAST_ANSWERS_SECONDS
        await trio.sleep(min(NOTICE_SECONDS, max(0, answered_by - started)))
        self._refuse_new_work()
        if not await self._wait_finished(answered_by):
            self._emit_load('drain-overdue', started)
            self._cancel_running()
            # a loop that was held up still gets its time for the answers
            extended = self._parts.clock.now() + LAST_ANSWERS_SECONDS
            await self._wait_finished(max(ends_at, extended))
        self._emit_load('drain-ended', started)

    def _start_draining(self) -> None:
        """Take no work for the target, close connections after answers."""
        self._parts.sender.keep_overdue()
        self._parts.owner.stop_admitting()
        for server in self._parts.servers:
            server.drain()

    def _refuse_new_work(self) -> None:
        """Begin nothing that the end might cut."""
        self._parts.admission.is_closing = True
        self._parts.sender.cancel_unsent()
        self._parts.caller_server.close_idle()

    def _cancel_running(self) -> None:
        """Answer what still runs: that it may have run is all that is known."""
        self._parts.sender.cancel_all()
        self._parts.owner.cancel_running()

    async def _wait_finished(self, until: float) -> bool:
        """Wait until nothing is under way; False if time runs out first."""
        seconds_left = max(0, until - self._parts.clock.now())
        with trio.move_on_after(seconds_left):
            while True:
                if not self._has_work():
                    return True
                await trio.sleep(FINISH_POLL_SECONDS)
        return False

    def _has_work(self) -> bool:
        is_serving = any(server.busy for server in self._parts.servers)
        return is_serving or self._parts.owner.is_busy

    def _emit_load(self, name: str, started: float) -> None:
        """Tell how many requests a stop finds, or leaves."""
        slot_queue = self._parts.owner.slot_queue
        self._parts.events.emit(
            name,
            seconds=f'{self._parts.clock.now() - started:.3f}',
            callers=self._parts.caller_server.busy,
            running=slot_queue.running,
            waiting=slot_queue.waiting,
        )
