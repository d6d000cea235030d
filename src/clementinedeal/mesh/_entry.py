"""Takes the requests of this instance and answers for their outcomes."""

from dataclasses import dataclass

import trio

from clementinedeal._events import EventLog
from clementinedeal._http import (
    CONTENT_LENGTH,
    ConnLostError,
    HttpError,
    RequestHead,
)
from clementinedeal._refusals import Refusal
from clementinedeal._server_conn import ServerConn
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._admission import Admission, AdmittedRequest
from clementinedeal.mesh._calls import CallFailures
from clementinedeal.mesh._metrics import DaemonMetrics
from clementinedeal.mesh._outcomes import MeshOutcome
from clementinedeal.mesh._sender import Sender

_TOO_LARGE = 413


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryParts:
    """What an entry works with."""

    clock: Clock
    events: EventLog
    admission: Admission
    sender: Sender
    calls: CallFailures
    tally: DaemonMetrics


class Entry:
    """Serves the connections of callers."""

    def __init__(self, parts: EntryParts) -> None:
        """Create an entry.

        :param parts: its collaborators.
        """
        self._parts = parts

    async def serve(self, conn: ServerConn, head: RequestHead) -> None:
        """Answer one request.

        :param conn: the caller's connection.
        :param head: the request's head.
        :raises ConnLostError: the caller is gone.
        """
        parts = self._parts
        started = parts.clock.now()
        body = await _read_body(conn, parts.admission.max_body_bytes)
        admitted = await parts.admission.admit(head, body, started)
        if isinstance(admitted, MeshOutcome):
            await self._refuse(
                conn, parts.admission.read_request_id(head), admitted
            )
            return
        outcome = await self._run_watched(conn, admitted)
        self._note(admitted, outcome, parts.clock.now() - started)
        if outcome.status:
            headers = tuple(
                pair for pair in outcome.headers if pair[0] != CONTENT_LENGTH
            )
            await conn.respond(outcome.status, headers, outcome.body)
        else:
            await self._refuse(conn, admitted.req_id, outcome)

    async def _run_watched(
        self,
        conn: ServerConn,
        admitted: AdmittedRequest,
    ) -> MeshOutcome:
        """Run a request and give it up when its caller leaves."""
        outcome: MeshOutcome | None = None
        left = False

        async def watch_caller(scope: trio.CancelScope) -> None:
            nonlocal left
            await conn.wait_left()
            left = True
            scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_caller, nursery.cancel_scope)
                outcome = await self._parts.sender.send(admitted)
                nursery.cancel_scope.cancel()
        finally:
            if outcome is None:
                self._note_cut(admitted.req_id, left=left)
        if outcome is None:
            raise ConnLostError('the caller left')
        return outcome

    def _note_cut(self, req_id: str, *, left: bool) -> None:
        """Tell a request whose caller left from one cut by the daemon."""
        if left:
            self._parts.tally.count('left')
        self._parts.events.emit(
            'caller-left' if left else 'request-cut',
            req=req_id,
        )

    def _note(
        self,
        admitted: AdmittedRequest,
        outcome: MeshOutcome,
        seconds: float,
    ) -> None:
        if not outcome.succeeded and admitted.account is None:
            self._parts.calls.note()
        account = admitted.account.name if admitted.account else ''
        reason = outcome.reason.value if outcome.reason else 'answered'
        service = admitted.service
        verdict = outcome.verdict.value
        tally = self._parts.tally
        tally.count('requests', service, account, verdict, reason)
        tally.observe('request_seconds', seconds, service)
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

    async def _refuse(
        self,
        conn: ServerConn,
        req_id: str,
        outcome: MeshOutcome,
    ) -> None:
        reason = outcome.reason or Reason.TARGET_FAILED
        standing = self._parts.admission.active_declaration
        refusal = Refusal(outcome.verdict, reason, outcome.retry_after)
        if outcome.verdict is Verdict.NOT_RUN:
            self._parts.events.emit(
                'request-refused',
                req=req_id,
                reason=reason.value,
                retry_after=f'{outcome.retry_after:.2f}',
                version=standing.version,
                age=f'{standing.age:.2f}',
            )
        await conn.respond(
            refusal.status,
            refusal.headers(req_id, with_fraction=True),
            refusal.body(req_id),
        )


async def _read_body(conn: ServerConn, limit: int) -> bytes:
    body = bytearray()
    async for piece in conn.read_body():
        body += piece
        if len(body) > limit:
            raise HttpError('request body too large', status=_TOO_LARGE)
    return bytes(body)
