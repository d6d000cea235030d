"""Serves the callers of this instance and answers each request."""

import functools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from clementinedeal._events import EventLog, log
from clementinedeal._http import (
    CONTENT_LENGTH,
    Body,
    ConnLostError,
    RequestHead,
)
from clementinedeal._refusals import Refusal
from clementinedeal._server_conn import ServerConn
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._admission import Admission, AdmittedRequest
from clementinedeal.mesh._call_failures import CallFailures
from clementinedeal.mesh._metrics import DaemonMetrics
from clementinedeal.mesh._outcomes import MeshOutcome
from clementinedeal.mesh._sender import Sender

_INTERNAL_ERROR = MeshOutcome(
    verdict=Verdict.MAY_HAVE_RUN, reason=Reason.INTERNAL
)


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshEntryParts:
    """The collaborators of an entry.

    ``metrics`` counts its requests, ``nursery`` runs those that run early.
    """

    clock: Clock
    events: EventLog
    admission: Admission
    sender: Sender
    call_failures: CallFailures
    metrics: DaemonMetrics
    nursery: trio.Nursery


@dataclass(eq=False, slots=True)
class RunningRequest:
    """A request on its way to an outcome.

    ``received_at`` is when its head arrived, in monotonic seconds. ``outcome``
    is None until it has ended, and if a part of the daemon failed on it.
    ``cancel_scope`` and ``done`` belong to a request that runs early;
    ``caller_left`` is False if the daemon cancels it in its turn.
    """

    req_id: str
    received_at: float
    outcome: MeshOutcome | None = None
    cancel_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    done: trio.Event = field(default_factory=trio.Event)
    caller_left: bool = True

    def cancel(self) -> None:
        """End it, if it runs early: nobody waits for its answer any more."""
        self.cancel_scope.cancel()


class MeshEntry:
    """Handles the requests of callers.

    The entry is the daemon that took the caller's request. It sends the
    request to targets, through their owners, until it has an outcome, and
    answers the caller. A request whose caller disconnects is cancelled.
    """

    def __init__(self, parts: MeshEntryParts) -> None:
        """Create an entry.

        :param parts: the collaborators.
        """
        self._parts = parts

    async def serve(self, conn: ServerConn, head: RequestHead) -> None:
        """Read the body of one request, run it and answer the caller.

        :param conn: the caller's connection.
        :param head: the request's head.
        :raises ConnLostError: the caller closed its connection.
        :raises HttpError: the body is larger than the limit in force, or
            there is no memory for it.
        """
        running = conn.early_request
        if isinstance(running, RunningRequest):
            await conn.discard_body()
            finish: Callable[[], Awaitable[None]] = running.done.wait
        else:
            received_at = self._parts.clock.now()
            max_bytes = self._parts.admission.max_body_bytes
            body = await conn.read_whole(max_bytes)
            running = RunningRequest(self._read_id(head), received_at)
            finish = functools.partial(self._run, running, head, body)
        await self._run_while_connected(conn, running, finish)
        await self._respond(conn, running)

    def may_run_early(self, head: RequestHead) -> bool:
        """Whether a request may run before its turn to be answered.

        :param head: its request line and headers.
        """
        admission = self._parts.admission
        return not admission.is_closing and admission.is_idempotent(head)

    def start_early(self, head: RequestHead) -> 'RunningRequest':
        """Run a request before its turn to be answered.

        :param head: its request line and headers.
        """
        running = RunningRequest(self._read_id(head), self._parts.clock.now())
        self._parts.metrics.count('early')
        self._parts.nursery.start_soon(self._run_early, running, head)
        return running

    async def _run_early(
        self, running: 'RunningRequest', head: RequestHead
    ) -> None:
        try:
            with running.cancel_scope:
                await self._run(running, head, b'')
        except Exception:
            # one request's failure must not end the others of the process
            log.exception('event=request-failed req=%s', running.req_id)
        running.done.set()
        if running.cancel_scope.cancelled_caught:
            self._report_cancelled(running)

    async def _run(
        self, running: 'RunningRequest', head: RequestHead, body: Body
    ) -> None:
        """Run a request to its end and set its outcome."""
        parts = self._parts
        admitted = await parts.admission.admit(head, body, running.received_at)
        if isinstance(admitted, MeshOutcome):
            running.outcome = admitted
            return
        running.req_id = admitted.req_id
        running.outcome = await parts.sender.send(admitted)
        seconds = parts.clock.now() - running.received_at
        self._report_finished(admitted, running.outcome, seconds)

    async def _run_while_connected(
        self,
        conn: ServerConn,
        running: 'RunningRequest',
        finish: Callable[[], Awaitable[None]],
    ) -> None:
        """Wait for a request; cancel it if the caller closes its connection.

        :param conn: the caller's connection.
        :param running: the request.
        :param finish: returns when the request has ended.
        :raises ConnLostError: the caller closed its connection.
        """

        async def watch_caller(scope: trio.CancelScope) -> None:
            await conn.wait_disconnected(self)
            running.caller_left = True
            scope.cancel()

        running.caller_left = False
        has_ended = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_caller, nursery.cancel_scope)
                await finish()
                has_ended = True
                nursery.cancel_scope.cancel()
        finally:
            if not has_ended:
                running.cancel()
                if running is not conn.early_request:
                    self._report_cancelled(running)
        if not has_ended:
            raise ConnLostError('the caller closed its connection')

    async def _respond(
        self, conn: ServerConn, running: 'RunningRequest'
    ) -> None:
        outcome = running.outcome or _INTERNAL_ERROR
        if outcome.status:
            headers = tuple(
                pair for pair in outcome.headers if pair[0] != CONTENT_LENGTH
            )
            await conn.respond(outcome.status, headers, outcome.body)
        else:
            await self._respond_error(conn, running.req_id, outcome)

    def _read_id(self, head: RequestHead) -> str:
        return self._parts.admission.read_request_id(head)

    def _report_cancelled(self, running: 'RunningRequest') -> None:
        """Log a request that its caller or the daemon has cancelled."""
        if running.caller_left:
            self._parts.metrics.count('left')
        self._parts.events.emit(
            'caller-left' if running.caller_left else 'request-cut',
            req=running.req_id,
        )

    def _report_finished(
        self,
        admitted: AdmittedRequest,
        outcome: MeshOutcome,
        seconds: float,
    ) -> None:
        # a request without an account may be a call by the own target
        if not outcome.succeeded and admitted.account is None:
            self._parts.call_failures.record()
        account = admitted.account.name if admitted.account else ''
        reason = outcome.reason.value if outcome.reason else 'answered'
        service = admitted.service
        verdict = outcome.verdict.value
        metrics = self._parts.metrics
        metrics.count('requests', service, account, verdict, reason)
        metrics.observe('request_seconds', seconds, service)
        self._parts.events.emit(
            'request-finished',
            req=admitted.req_id,
            route=admitted.route.name,
            service=service,
            account=account,
            verdict=verdict,
            outcome=reason,
            status=outcome.status,
            seconds=f'{seconds:.3f}',
        )

    async def _respond_error(
        self,
        conn: ServerConn,
        req_id: str,
        outcome: MeshOutcome,
    ) -> None:
        reason = outcome.reason or Reason.TARGET_FAILED
        config = self._parts.admission.active_declaration
        refusal = Refusal(outcome.verdict, reason, outcome.retry_after)
        if outcome.verdict is Verdict.NOT_RUN:
            self._parts.events.emit(
                'request-refused',
                req=req_id,
                reason=reason.value,
                retry_after=f'{outcome.retry_after:.2f}',
                version=config.version,
                age=f'{config.age:.2f}',
            )
        await conn.respond(
            refusal.status,
            refusal.headers(req_id, with_fraction=True),
            refusal.body(req_id),
        )
