"""Serves the callers of this instance and answers each request."""

from dataclasses import dataclass

import trio

from clementinedeal._events import EventLog
from clementinedeal._http import (
    CONTENT_LENGTH,
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


@dataclass(frozen=True, slots=True, kw_only=True)
class MeshEntryParts:
    """The collaborators of an entry; ``metrics`` counts its requests."""

    clock: Clock
    events: EventLog
    admission: Admission
    sender: Sender
    call_failures: CallFailures
    metrics: DaemonMetrics


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
        parts = self._parts
        started_at = parts.clock.now()
        body = await conn.read_whole(parts.admission.max_body_bytes)
        admitted = await parts.admission.admit(head, body, started_at)
        if isinstance(admitted, MeshOutcome):
            await self._respond_error(
                conn, parts.admission.read_request_id(head), admitted
            )
            return
        outcome = await self._run_while_connected(conn, admitted)
        self._report_finished(admitted, outcome, parts.clock.now() - started_at)
        if outcome.status:
            headers = tuple(
                pair for pair in outcome.headers if pair[0] != CONTENT_LENGTH
            )
            await conn.respond(outcome.status, headers, outcome.body)
        else:
            await self._respond_error(conn, admitted.req_id, outcome)

    async def _run_while_connected(
        self,
        conn: ServerConn,
        admitted: AdmittedRequest,
    ) -> MeshOutcome:
        """Run a request; cancel it if the caller closes its connection."""
        outcome: MeshOutcome | None = None
        caller_left = False

        async def watch_caller(scope: trio.CancelScope) -> None:
            nonlocal caller_left
            await conn.wait_disconnected()
            caller_left = True
            scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_caller, nursery.cancel_scope)
                outcome = await self._parts.sender.send(admitted)
                nursery.cancel_scope.cancel()
        finally:
            if outcome is None:
                self._report_cancelled(admitted.req_id, caller_left=caller_left)
        if outcome is None:
            raise ConnLostError('the caller closed its connection')
        return outcome

    def _report_cancelled(self, req_id: str, *, caller_left: bool) -> None:
        """Log a cancelled request.

        :param req_id: id of the request.
        :param caller_left: whether its caller disconnected; if not, the
            daemon cancelled it.
        """
        if caller_left:
            self._parts.metrics.count('left')
        self._parts.events.emit(
            'caller-left' if caller_left else 'request-cut',
            req=req_id,
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
