"""Graceful stop: every request that was read is answered before the end."""

from dataclasses import dataclass

import trio

from clementinedeal._events import EventLog
from clementinedeal._http_server import HttpServer
from clementinedeal._timers import Clock
from clementinedeal.mesh._admission import Admission
from clementinedeal.mesh._owner import MeshOwner
from clementinedeal.mesh._sender import Sender

# Callers check readiness once a second and turn away after two failures. Until
# then the daemon serves requests as before.
NOTICE_SECONDS = 2.5
# Time kept before the platform kills the process: for the tasks to end, and for
# the exit of the interpreter, which takes 0.05 s of CPU time.
KILL_MARGIN_SECONDS = 0.4
# Time kept before that for the last answers to be written and read.
LAST_ANSWERS_SECONDS = 0.2
FINISH_POLL_SECONDS = 0.1
# Turns of the event loop that the last answers get even if no time is left: a
# process that gets little CPU time may use it up before its tasks have run.
MAX_LAST_TURNS = 50


@dataclass(frozen=True, slots=True, kw_only=True)
class StopParts:
    """What a stop acts on; ``caller_server`` is one of the ``servers``."""

    clock: Clock
    events: EventLog
    admission: Admission
    sender: Sender
    owner: MeshOwner
    caller_server: HttpServer
    servers: tuple[HttpServer, ...]


class PlannedStop:
    """Takes a daemon out of service, in three phases.

    First the daemon reports that it is not ready and still serves callers, but
    from other targets than its own. Then it refuses new requests and waits for
    the running ones. What still runs at the end is cancelled and answered as
    possibly run.
    """

    def __init__(self, parts: StopParts) -> None:
        """Create a stop that has not begun.

        :param parts: what it acts on.
        """
        self._parts = parts

    async def run(self, grace: float) -> None:
        """Stop the daemon; returns when the process may end.

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
            # an event loop that was blocked still gets time for the answers
            extended = self._parts.clock.now() + LAST_ANSWERS_SECONDS
            if not await self._wait_finished(max(ends_at, extended)):
                await self._run_ready_tasks()
        self._emit_load('drain-ended', started)

    def _start_draining(self) -> None:
        """Accept no work for the target, close connections after answers."""
        self._parts.sender.keep_overdue()
        self._parts.owner.stop_admitting()
        for server in self._parts.servers:
            server.drain()

    def _refuse_new_work(self) -> None:
        """Refuse new requests: the end of the process would cut them."""
        self._parts.admission.is_closing = True
        self._parts.sender.cancel_unsent()
        self._parts.caller_server.close_idle()

    def _cancel_running(self) -> None:
        """Cancel what still runs; it is answered as possibly run."""
        self._parts.sender.cancel_all()
        self._parts.owner.cancel_running()

    async def _wait_finished(self, until: float) -> bool:
        """Wait until nothing runs; False if time runs out first.

        :param until: when to stop waiting, monotonic seconds.
        """
        seconds_left = max(0, until - self._parts.clock.now())
        with trio.move_on_after(seconds_left):
            while True:
                if not self._has_work():
                    return True
                await trio.sleep(FINISH_POLL_SECONDS)
        return False

    async def _run_ready_tasks(self) -> None:
        """Let tasks write the answers that they already have."""
        for _ in range(MAX_LAST_TURNS):
            if not self._has_work():
                return
            await trio.lowlevel.checkpoint()

    def _has_work(self) -> bool:
        is_serving = any(
            server.busy_connections for server in self._parts.servers
        )
        return is_serving or self._parts.owner.is_busy

    def _emit_load(self, name: str, started: float) -> None:
        """Log how many requests are running and waiting."""
        slot_queue = self._parts.owner.slot_queue
        self._parts.events.emit(
            name,
            seconds=f'{self._parts.clock.now() - started:.3f}',
            callers=self._parts.caller_server.busy_connections,
            running=slot_queue.running,
            waiting=slot_queue.waiting,
        )
