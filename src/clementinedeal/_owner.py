"""The owner: admits, queues and runs forwarded requests at its targets."""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace

import trio
from result import Err, Ok, Result

from clementinedeal._cancel_messages import CancelAnswer, CancelExecution
from clementinedeal._envelope import Forward
from clementinedeal._events import EventLog
from clementinedeal._executions import ExecutionTable
from clementinedeal._gates import OutcomeWatcher, SlotGate, TokenGate
from clementinedeal._http import ConnLostError, HttpError, WriteLostError
from clementinedeal._model import Target
from clementinedeal._replies import AttemptRefusal, AttemptReply, Request
from clementinedeal._target_call import TargetCall, TargetCaller
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict

_MS_PER_SECOND = 1000
_INCOMPLETE = AttemptRefusal(Verdict.MAY_HAVE_RUN, Reason.ANSWER_INCOMPLETE)


@dataclass(frozen=True, slots=True)
class OwnerParts:
    """Collaborators of an owner.

    :param clock: monotonic clock.
    :param events: log of this daemon's events.
    :param executions: table of the forwarded attempts.
    :param tokens: takes tokens of the accounts.
    :param slots: grants slots of the targets.
    :param watcher: judges the targets by their replies.
    :param caller: calls the targets.
    """

    clock: Clock
    events: EventLog
    executions: ExecutionTable
    tokens: TokenGate
    slots: SlotGate
    watcher: OutcomeWatcher
    caller: TargetCaller


class Owner:
    """Runs forwarded requests at the targets beside this daemon.

    The owner is the daemon beside a target and the only one that calls it.
    ``draining`` makes it refuse new requests; ``in_flight`` is the number of
    attempts that it works on.
    """

    def __init__(self, parts: OwnerParts) -> None:
        """Create an owner.

        :param parts: collaborators of the owner.
        """
        self._parts = parts
        self._scopes: dict[str, trio.CancelScope] = {}
        self.draining = False
        self.in_flight = 0

    @contextlib.asynccontextmanager
    async def execute(
        self,
        fwd: Forward,
        target: Target,
        req: Request,
    ) -> AsyncIterator[AttemptReply]:
        """Run one attempt; the reply's body must be read inside the context.

        :param fwd: describes the attempt.
        :param target: an owned target.
        :param req: the request to send.
        """
        self.in_flight += 1
        try:
            async with self._execute_registered(fwd, target, req) as reply:
                yield reply
        finally:
            self.in_flight -= 1
            self._scopes.pop(fwd.attempt, None)

    def cancel(self, cancel_request: CancelExecution) -> CancelAnswer:
        """Cancel an attempt and return how far it came.

        A wait for a token, a slot or the target's answer is aborted.

        :param cancel_request: names the attempt and the owner's incarnation.
        """
        parts = self._parts
        answer = parts.executions.cancel(
            cancel_request.req_id,
            cancel_request.incarnation,
            parts.clock.now(),
        )
        scope = self._scopes.get(cancel_request.req_id)
        if scope is not None:
            scope.cancel()
        return answer

    @contextlib.asynccontextmanager
    async def _execute_registered(
        self,
        fwd: Forward,
        target: Target,
        req: Request,
    ) -> AsyncIterator[AttemptReply]:
        parts = self._parts
        now = parts.clock.now()
        deadline = now + fwd.deadline_ms / _MS_PER_SECOND
        registered = parts.executions.register(
            fwd.attempt,
            fwd.incarnation,
            deadline,
            now,
        )
        if isinstance(registered, Err):
            yield self._registration_refusal(registered.err_value)
            return
        try:
            async with self._execute_admitted(fwd, target, req) as reply:
                yield reply
        finally:
            self._close_execution(fwd.attempt)

    @contextlib.asynccontextmanager
    async def _execute_admitted(
        self,
        fwd: Forward,
        target: Target,
        req: Request,
    ) -> AsyncIterator[AttemptReply]:
        seconds = fwd.deadline_ms / _MS_PER_SECOND
        try:
            refusal = await self._pass_gates(fwd, target, seconds)
            if refusal is not None:
                yield refusal
                return
            async with self._call_target(fwd, target, req) as reply:
                yield replace(reply, admitted=True)
        finally:
            self._parts.slots.release(fwd.attempt, target.name)

    async def _pass_gates(
        self,
        fwd: Forward,
        target: Target,
        seconds: float,
    ) -> AttemptRefusal | None:
        """Wait for a token, then for a slot; return why there is none."""
        scope = trio.CancelScope()
        self._scopes[fwd.attempt] = scope
        scope.deadline = trio.current_time() + seconds
        with scope:
            return await self._take_token_and_slot(fwd, target, seconds)
        is_late = trio.current_time() >= scope.deadline
        return AttemptRefusal(
            Verdict.NOT_RUN,
            Reason.DEADLINE if is_late else Reason.CANCELLED,
        )

    async def _take_token_and_slot(
        self,
        fwd: Forward,
        target: Target,
        seconds: float,
    ) -> AttemptRefusal | None:
        """Take a token of the account, then a slot of the target.

        A refusal for lack of a slot says that the token was taken, so that
        the next attempt does not take another one.
        """
        parts = self._parts
        if self.draining:
            return AttemptRefusal(Verdict.NOT_RUN, Reason.DRAINING)
        refusal = parts.watcher.refusal(target.name, idempotent=fwd.idempotent)
        if refusal is not None:
            return refusal
        if fwd.account and not fwd.admitted:
            refusal = await parts.tokens.take(fwd.attempt, fwd.account)
            if refusal is not None:
                return refusal
        refusal = await parts.slots.acquire(
            fwd.attempt,
            target.name,
            fwd.account,
            seconds,
        )
        if refusal is None:
            return None
        return AttemptRefusal(
            refusal.verdict,
            refusal.reason,
            refusal.retry_after,
            admitted=True,
        )

    @contextlib.asynccontextmanager
    async def _call_target(
        self,
        fwd: Forward,
        target: Target,
        req: Request,
    ) -> AsyncIterator[AttemptReply]:
        seconds = fwd.deadline_ms / _MS_PER_SECOND
        scope = trio.CancelScope(deadline=trio.current_time() + seconds)
        self._scopes[fwd.attempt] = scope
        call = TargetCall(
            target=target,
            req_id=fwd.req_id,
            req=req,
            seconds_left=seconds,
            may_start=lambda: self._start_execution(fwd, target),
            scope=scope,
        )
        async with self._parts.caller.call(call) as reply:
            if isinstance(reply, AttemptRefusal):
                self._parts.watcher.ended(fwd.attempt, target.name, reply)
                yield reply
                return
            if reply.body.whole is not None:
                self._record_answer(fwd, target, reply)
                yield reply
                return
            async with self._watch_stream(fwd, target, reply):
                yield reply

    @contextlib.asynccontextmanager
    async def _watch_stream(
        self,
        fwd: Forward,
        target: Target,
        reply: AttemptReply,
    ) -> AsyncIterator[None]:
        """Report how a streamed answer ended once it has been read.

        If the reader's connection breaks, the target is not at fault: the
        watcher gets the answer, not an incomplete one.
        """
        ended = self._parts.watcher.ended
        try:
            yield
        except WriteLostError:
            ended(fwd.attempt, target.name, reply)
            raise
        except (ConnLostError, HttpError):
            ended(fwd.attempt, target.name, _INCOMPLETE)
            raise
        self._record_answer(fwd, target, reply)

    def _record_answer(
        self,
        fwd: Forward,
        target: Target,
        reply: AttemptReply,
    ) -> None:
        parts = self._parts
        parts.executions.finish(fwd.attempt, parts.clock.now())
        parts.watcher.ended(fwd.attempt, target.name, reply)

    def _start_execution(
        self, fwd: Forward, target: Target
    ) -> Result[None, Reason]:
        parts = self._parts
        allowed = parts.executions.start(fwd.attempt, parts.clock.now())
        if isinstance(allowed, Ok):
            parts.watcher.started(
                fwd.attempt,
                target.name,
                idempotent=fwd.idempotent,
            )
            parts.events.emit(
                'request-started',
                req=fwd.req_id,
                attempt=fwd.attempt,
                target=target.name,
                account=fwd.account,
            )
        return allowed

    def _close_execution(self, attempt: str) -> None:
        """Close the attempt in the table, whether it has started or not."""
        parts = self._parts
        now = parts.clock.now()
        parts.executions.cancel(attempt, parts.executions.incarnation, now)
        parts.executions.abandon(attempt, now)

    def _registration_refusal(self, reason: Reason) -> AttemptRefusal:
        verdict = Verdict.NOT_RUN
        if reason is Reason.DUPLICATE:
            verdict = Verdict.MAY_HAVE_RUN
        incarnation = self._parts.executions.incarnation
        return AttemptRefusal(verdict, reason, incarnation=incarnation)
