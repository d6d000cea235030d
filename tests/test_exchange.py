"""The result of a request whose caller leaves during its answer."""

import contextlib
from collections.abc import AsyncIterator

import pytest

from clementinedeal._attempt_plan import AttemptPlan
from clementinedeal._attempt_set import AttemptRequest
from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._exchange import CallerLeftError, Exchange
from clementinedeal._hedged_exchange import HedgedExchange
from clementinedeal._http import ResponseHead
from clementinedeal._model import Preset, PresetName
from clementinedeal._replies import TargetAnswer, WholeBody
from clementinedeal._retry_budget import RetryBudget
from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Verdict

ANSWER = TargetAnswer(ResponseHead(201, ()), WholeBody(b'booked'))


class LeavingCaller:
    """Stub for what an exchange calls; its caller leaves during the answer."""

    @contextlib.asynccontextmanager
    async def attempt(
        self, attempt_id: str, target: str, *, admitted: bool
    ) -> AsyncIterator[TargetAnswer]:
        yield ANSWER

    async def cancel(self, attempt_id: str, target: str) -> CancelAnswer:
        return CancelAnswer.FINISHED

    async def reply(self, answer: TargetAnswer) -> None:
        raise CallerLeftError('gone')


@pytest.mark.parametrize('kind', [Exchange, HedgedExchange])
async def test_an_answer_whose_caller_left_has_run_and_is_kept_for_replay(
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
    result = await exchange.run(replayable=True)
    assert result.refusal is not None
    assert result.refusal.verdict is Verdict.RAN
    assert result.must_abort
    assert result.answer is ANSWER
