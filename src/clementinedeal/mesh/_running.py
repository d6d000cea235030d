"""Keeps the parts of a daemon running."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import trio

from clementinedeal._events import log

# A part that fails at once again must not take the loop for itself.
AGAIN_SECONDS = 0.5

Part: TypeAlias = Callable[[], Awaitable[None]]


async def keep_running(part: Part) -> None:
    """Run a part to its end; one that fails is started again.

    What a part meets must not end the process, and the requests on it.

    :param part: runs until it is done or cancelled.
    """
    while True:
        try:
            await part()
        except Exception:
            log.exception('event=part-failed')
            await trio.sleep(AGAIN_SECONDS)
        else:
            return
