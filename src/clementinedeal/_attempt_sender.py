"""Sends the attempts of one request to the owners of their targets."""

import contextlib
from collections.abc import AsyncIterator

from clementinedeal._cancel_messages import CancelAnswer, CancelExecution
from clementinedeal._entry_parts import EntryParts
from clementinedeal._envelope import Forward
from clementinedeal._exchange import CallerLeftError
from clementinedeal._forwarding import send_answer
from clementinedeal._http import WriteLostError
from clementinedeal._incoming_request import IncomingRequest
from clementinedeal._model import Instance, Target
from clementinedeal._refusals import REQUEST_ID_HEADER, VERDICT_HEADER
from clementinedeal._replies import AttemptRefusal, AttemptReply, TargetAnswer
from clementinedeal._server_conn import ServerConn
from clementinedeal._verdict import Reason, Verdict

_MS_PER_SECOND = 1000


class AttemptSender:
    """Sends attempts and cancels to owners, and the answer to the caller.

    The owner of a target is the daemon beside it: this daemon, or another one
    that is called over a peer connection. Each attempt names the incarnation
    of the owner for which it is meant, that is one run of the owner's process.
    """

    def __init__(
        self,
        parts: EntryParts,
        conn: ServerConn,
        incoming: IncomingRequest,
    ) -> None:
        """Create the sender of one request.

        :param parts: the entry's collaborators.
        :param conn: the caller's connection.
        :param incoming: the caller's request.
        """
        self._parts = parts
        self._conn = conn
        self._incoming = incoming
        self._named_incarnations: dict[str, str] = {}

    @contextlib.asynccontextmanager
    async def attempt(
        self,
        attempt_id: str,
        target: str,
        *,
        admitted: bool,
    ) -> AsyncIterator[AttemptReply]:
        """Send the request to the owner of a target.

        The body of the reply must be read inside the context.

        :param attempt_id: id of the attempt.
        :param target: name of the target.
        :param admitted: whether an earlier attempt has taken the account's
            token.
        :raises ConnLostError: the connection broke after the first byte.
        """
        fwd = self._build_forward(
            attempt_id, self._find_target(target), admitted=admitted
        )
        async with self._attempt_and_correct_incarnation(fwd) as reply:
            yield reply

    async def cancel(self, attempt_id: str, target: str) -> CancelAnswer:
        """Cancel an attempt at its owner and return how far it came.

        An owner that answers ``NEVER_STARTED`` never starts the attempt.

        :param attempt_id: id of the attempt.
        :param target: name of the target that it was sent to.
        """
        owner = self._find_target(target).instance
        cancel_request = CancelExecution(
            attempt_id, self._named_incarnations.get(attempt_id, '')
        )
        if owner == self._parts.me:
            return self._parts.owner.cancel(cancel_request)
        return await self._parts.canceller.cancel(owner, cancel_request)

    async def reply(self, answer: TargetAnswer) -> None:
        """Send an answer to the caller.

        :param answer: the target's answer.
        :raises CallerLeftError: the caller's connection broke.
        :raises ConnLostError: the answer ended early.
        """
        try:
            await answer_caller(self._conn, self._incoming.req_id, answer)
        except WriteLostError as exc:
            raise CallerLeftError('caller connection closed') from exc

    @contextlib.asynccontextmanager
    async def _attempt_and_correct_incarnation(
        self, fwd: Forward
    ) -> AsyncIterator[AttemptReply]:
        """Send an attempt, and once more if it named a wrong incarnation.

        A refusal for a wrong incarnation carries the owner's present one. The
        attempt is sent again with it under the same id, unless the request's
        body can't be sent twice.
        """
        async with self._attempt_once(fwd) as reply:
            self._learn_incarnation(fwd, reply)
            replayable = self._incoming.req.body.whole is not None
            if not (replayable and _is_wrong_incarnation(reply)):
                yield reply
                return
        retried = self._build_forward(
            fwd.attempt,
            self._find_target(fwd.target),
            admitted=fwd.admitted,
        )
        async with self._attempt_once(retried) as reply:
            yield reply

    @contextlib.asynccontextmanager
    async def _attempt_once(self, fwd: Forward) -> AsyncIterator[AttemptReply]:
        target = self._find_target(fwd.target)
        req = self._incoming.req
        if target.instance == self._parts.me:
            async with self._parts.owner.execute(fwd, target, req) as reply:
                yield reply
            return
        owner = self._find_owner(target)
        async with self._parts.peers.forward(owner, fwd, req) as reply:
            yield reply

    def _learn_incarnation(self, fwd: Forward, reply: AttemptReply) -> None:
        if isinstance(reply, AttemptRefusal) and reply.incarnation:
            owner = self._find_target(fwd.target).instance
            self._parts.view.learn_incarnation(owner, reply.incarnation)

    def _build_forward(
        self,
        attempt_id: str,
        target: Target,
        *,
        admitted: bool,
    ) -> Forward:
        incarnation = self._parts.view.incarnation(target.instance)
        self._named_incarnations[attempt_id] = incarnation
        seconds_left = self._incoming.deadline - self._parts.clock.now()
        return Forward(
            attempt=attempt_id,
            req_id=self._incoming.req_id,
            sender=self._parts.me,
            target=target.name,
            incarnation=incarnation,
            account=self._incoming.account,
            deadline_ms=max(0, int(seconds_left * _MS_PER_SECOND)),
            idempotent=self._incoming.granted.route.idempotent,
            admitted=admitted,
            hlc=self._parts.events.clock.stamp(),
        )

    def _find_target(self, name: str) -> Target:
        return self._incoming.access.cfg.targets[name]

    def _find_owner(self, target: Target) -> Instance:
        return self._incoming.access.cfg.instances[target.instance]


def _is_wrong_incarnation(reply: AttemptReply) -> bool:
    return (
        isinstance(reply, AttemptRefusal)
        and reply.reason is Reason.WRONG_INCARNATION
        and bool(reply.incarnation)
    )


async def answer_caller(
    conn: ServerConn,
    req_id: str,
    answer: TargetAnswer,
) -> None:
    """Send a target's answer to the caller.

    :param conn: the caller's connection.
    :param req_id: id of the request, sent in a header.
    :param answer: the target's answer.
    :raises ConnLostError: the caller's connection broke, or the answer ended
        early.
    """
    extra = (
        (REQUEST_ID_HEADER, req_id.encode()),
        (VERDICT_HEADER, Verdict.RAN.value.encode()),
    )
    await send_answer(conn, answer, extra)
