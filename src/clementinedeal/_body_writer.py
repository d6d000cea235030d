"""Sends large answers within the budget of the process."""

import h11
import trio

from clementinedeal._byte_budget import ByteBudget, HeldBytes
from clementinedeal._http import ConnLostError, H11Stream


async def send_cuttable(
    h11_stream: H11Stream,
    budget: ByteBudget,
    body: HeldBytes,
    events: list[h11.Event],
) -> None:
    """Send an answer; give up if its memory is needed meanwhile.

    :param h11_stream: the connection.
    :param budget: counts the body.
    :param body: the body of the answer.
    :param events: the whole answer.
    :raises ConnLostError: the connection is closed, or the memory is needed.
    """
    body.progress_at = budget.clock.now()
    scope = trio.CancelScope()

    def cut() -> None:  # noqa: WPS430 - ends this call
        body.uncount()
        scope.cancel()

    with scope, budget.cuttable(body, cut):
        await h11_stream.send_all(*events)
    if scope.cancelled_caught:
        raise ConnLostError('the answer was not read in time')
