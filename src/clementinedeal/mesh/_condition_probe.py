"""Asks owners for the condition of their targets before a request is sent."""

import itertools
from collections.abc import Sequence

import trio

from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._condition_messages import (
    ConditionReply,
    ConditionRequest,
)
from clementinedeal.mesh._owner import MeshOwner
from clementinedeal.mesh._rate_limiter import Datagrams
from clementinedeal.mesh._types import Target

# An owner that takes longer is busy, suspended or gone, or a datagram was lost.
REPLY_SECONDS = 0.015
# Owners in distant zones get more time: this many of the mean round trips.
REPLY_ROUND_TRIPS = 2.0


class _Question:
    """A question to some owners, by IP address, until all have replied."""

    def __init__(self, targets: Sequence[Target]) -> None:
        self.silent = {one.host: one for one in targets}
        self.asked_at = trio.current_time()
        self.answered = trio.Event()


class ConditionProbe:
    """Asks and answers; replies go to the balancer."""

    def __init__(
        self,
        host: str,
        owner: MeshOwner,
        balancer: Balancer,
        datagrams: Datagrams,
    ) -> None:
        """Create a probe.

        :param host: IP address of this instance.
        :param owner: answers for the own target.
        :param balancer: records the replies.
        :param datagrams: sends messages to other daemons.
        """
        self._host = host
        self._owner = owner
        self._balancer = balancer
        self._datagrams = datagrams
        self._numbers = itertools.count(1)
        self._questions: dict[int, _Question] = {}

    async def ask(self, targets: Sequence[Target]) -> None:
        """Ask the owners of targets; return when all replied or time is over.

        :param targets: whom to ask about.
        """
        question = _Question(targets)
        if question.silent.pop(self._host, None) is not None:
            self._record(self._build_reply(0))
        number = next(self._numbers)
        self._questions[number] = question
        zones = self._balancer.zones
        limit = REPLY_SECONDS
        if zones.keep_others(targets):
            round_trip = zones.spill.round_trip_seconds
            limit = max(limit, REPLY_ROUND_TRIPS * round_trip)
        try:
            with trio.move_on_after(limit):
                for host in tuple(question.silent):
                    await self._datagrams.send(host, ConditionRequest(number))
                if question.silent:
                    await question.answered.wait()
        finally:
            del self._questions[number]
        for target in question.silent.values():
            self._balancer.on_silent(target.name)

    async def on_message(
        self, host: str, body: ConditionRequest | ConditionReply
    ) -> None:
        """Answer a question, or record a reply.

        :param host: IP address of the sender.
        :param body: the message.
        """
        if isinstance(body, ConditionRequest):
            await self._datagrams.send(host, self._build_reply(body.number))
            return
        question = self._questions.get(body.number)
        if question is None:
            return
        target = question.silent.get(host)
        if target is None:
            return
        if body.target == target.name:
            del question.silent[host]
            self._record(body)
            elapsed = trio.current_time() - question.asked_at
            self._balancer.zones.on_round_trip(target.name, elapsed)
        if not question.silent:
            question.answered.set()

    def _build_reply(self, number: int) -> ConditionReply:
        return ConditionReply(
            number=number,
            target=self._owner.accepted_target,
            condition=self._owner.target_condition(),
        )

    def _record(self, reply: ConditionReply) -> None:
        self._balancer.on_condition(reply.target, reply.condition)
