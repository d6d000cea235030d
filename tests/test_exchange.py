import contextlib
from collections.abc import AsyncIterator

import pytest

from clementinedeal._attempt_set import AttemptRequest
from clementinedeal._attempts import AttemptPlan
from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._exchange import CallerLeftError, Exchange
from clementinedeal._hedged_exchange import HedgedExchange
from clementinedeal._http import ResponseHead
from clementinedeal._model import Preset, PresetName
from clementinedeal._replies import Answered, WholeBody
from clementinedeal._retry_budget import RetryBudget
from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Verdict

ANSWER = Answered(ResponseHead(201, ()), WholeBody(b'booked'))


class LeavingCaller:
    @contextlib.asynccontextmanager
    async def attempt(
        self, attempt_id: str, target: str, *, admitted: bool
    ) -> AsyncIterator[Answered]:
        yield ANSWER

    async def cancel(self, attempt_id: str, target: str) -> CancelAnswer:
        return CancelAnswer.FINISHED

    async def reply(self, answer: Answered) -> None:
        raise CallerLeftError('gone')


@pytest.mark.parametrize('kind', [Exchange, HedgedExchange])
async def test_an_answer_that_its_caller_left_has_run_and_can_be_replayed(
    kind: type[Exchange] | type[HedgedExchange],
) -> None:
    req = AttemptRequest(
        req_id='r',
        idempotent=False,
        preset=Preset(name=PresetName.ORDINARY),
        candidates=('a',),
        deadline=10,
    )
    plan = AttemptPlan(req, RetryBudget())
    exchange = kind(plan, LeavingCaller(), VirtualClock())
    finished = await exchange.run(replayable=True)
    assert finished.refusal is not None
    assert finished.refusal.verdict is Verdict.RAN
    assert finished.cut
    assert finished.answer is ANSWER
