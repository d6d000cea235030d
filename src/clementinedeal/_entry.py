"""The entry: takes callers' requests and answers each of them once."""

from result import Err, Ok, Result

from clementinedeal._access import Access, Granted
from clementinedeal._attempt_plan import AttemptPlan
from clementinedeal._attempt_sender import AttemptSender, answer_caller
from clementinedeal._attempt_set import AttemptRequest
from clementinedeal._entry_parts import EntryParts
from clementinedeal._exchange import Exchange, ExchangeResult
from clementinedeal._forwarding import MAX_REPLAY_BYTES
from clementinedeal._hedged_exchange import HedgedExchange
from clementinedeal._http import ConnLostError, RequestHead
from clementinedeal._incoming_request import (
    IncomingRequest,
    caller_timeout_seconds,
    forwarded_head,
    limit_body,
    new_request_id,
)
from clementinedeal._refusals import Refusal
from clementinedeal._replies import Request, TargetAnswer, buffer_body
from clementinedeal._retry_budget import RetryBudgets
from clementinedeal._server_conn import ServerConn
from clementinedeal._verdict import Reason, Verdict


class Entry:
    """Serves callers' connections.

    The entry of a request is the daemon that took it from its caller. It
    checks access and idempotency keys, forwards the request to owners of
    targets and reports the verdict.
    """

    def __init__(self, parts: EntryParts) -> None:
        """Create an entry.

        :param parts: collaborators of the entry.
        """
        self._parts = parts
        self._budgets = RetryBudgets()

    async def serve(self, conn: ServerConn, head: RequestHead) -> None:
        """Answer one request of a caller.

        :param conn: the caller's connection.
        :param head: head of the request.
        :raises ConnLostError: the answer ended early and the connection must
            be closed.
        """
        req_id = new_request_id()
        checked = self._check_access(head)
        if isinstance(checked, Err):
            await self._refuse_early(conn, req_id, checked.err_value)
            return
        access, granted = checked.ok_value
        started = self._parts.clock.now()
        pieces = limit_body(conn.read_body(), self._parts.max_body_bytes)
        body = await buffer_body(pieces, MAX_REPLAY_BYTES)
        incoming = IncomingRequest(
            req_id=req_id,
            granted=granted,
            access=access,
            req=Request(forwarded_head(head), body),
            started_at=started,
            deadline=started
            + caller_timeout_seconds(head, access.cfg.active_preset.deadline),
        )
        await self._serve_checked(conn, incoming)

    def _check_access(
        self,
        head: RequestHead,
    ) -> Result[tuple[Access, Granted], Reason]:
        access = self._parts.view.access
        if access is None:
            return Err(Reason.CONFIG_STALE)
        granted = access.check(head, is_fresh=self._parts.view.is_fresh())
        if isinstance(granted, Err):
            return granted
        if (head.content_length or 0) > self._parts.max_body_bytes:
            return Err(Reason.BODY_TOO_LARGE)
        return Ok((access, granted.ok_value))

    async def _refuse_early(
        self,
        conn: ServerConn,
        req_id: str,
        reason: Reason,
    ) -> None:
        self._parts.recorder.record_early_refusal(reason)
        self._parts.events.emit(
            'request-refused',
            req=req_id,
            reason=reason.value,
        )
        conn.close_unless_read()
        await _refuse(conn, req_id, Refusal(Verdict.NOT_RUN, reason))

    async def _serve_checked(
        self,
        conn: ServerConn,
        incoming: IncomingRequest,
    ) -> None:
        claimed = await self._parts.idempotency.claim(incoming)
        if isinstance(claimed, Refusal):
            self._record(incoming, claimed.verdict, claimed.reason.value)
            await _refuse(conn, incoming.req_id, claimed)
            return
        if claimed is not None:
            self._record(incoming, Verdict.RAN, 'replayed')
            await answer_caller(conn, incoming.req_id, claimed)
            return
        result = await self._run(conn, incoming)
        self._parts.idempotency.settle(incoming, result)
        await self._conclude(conn, incoming, result)

    async def _run(
        self, conn: ServerConn, incoming: IncomingRequest
    ) -> ExchangeResult:
        cfg = incoming.access.cfg
        budget = self._budgets.for_service(incoming.service)
        plan = AttemptPlan(
            AttemptRequest(
                req_id=incoming.req_id,
                idempotent=incoming.granted.route.idempotent,
                preset=cfg.active_preset,
                candidates=self._parts.view.candidates(incoming.granted),
                deadline=incoming.deadline,
            ),
            budget,
        )
        sender = AttemptSender(self._parts, conn, incoming)
        may_hedge = incoming.granted.route.idempotent and (
            cfg.active_preset.hedge_after > 0
        )
        exchange_class = HedgedExchange if may_hedge else Exchange
        exchange = exchange_class(plan, sender, self._parts.clock)
        replayable = incoming.req.body.whole is not None
        return await exchange.run(replayable=replayable)

    async def _conclude(
        self,
        conn: ServerConn,
        incoming: IncomingRequest,
        result: ExchangeResult,
    ) -> None:
        failure = result.refusal
        if failure is None:
            answer = result.answer
            self._record(incoming, Verdict.RAN, 'answered', answer)
            return
        self._record(incoming, failure.verdict, failure.reason.value)
        if result.must_abort or conn.head_sent:
            raise ConnLostError('answer ended early')
        refusal = Refusal(failure.verdict, failure.reason, failure.retry_after)
        conn.close_unless_read()
        await _refuse(conn, incoming.req_id, refusal)

    def _record(
        self,
        incoming: IncomingRequest,
        verdict: Verdict,
        outcome: str,
        answer: TargetAnswer | None = None,
    ) -> None:
        self._parts.recorder.record(incoming, verdict, outcome, answer)
        self._parts.events.emit(
            'request-finished',
            req=incoming.req_id,
            service=incoming.service,
            account=incoming.account,
            verdict=verdict.value,
            outcome=outcome,
        )


async def _refuse(conn: ServerConn, req_id: str, refusal: Refusal) -> None:
    await conn.respond(
        refusal.status,
        refusal.headers(req_id),
        refusal.body(req_id),
    )
