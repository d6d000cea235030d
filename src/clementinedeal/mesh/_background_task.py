"""Keeps the parts of a daemon running."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import trio

from clementinedeal._events import log

# A part that fails at once again must not take the loop for itself.
RESTART_DELAY_SECONDS = 0.5

BackgroundTask: TypeAlias = Callable[[], Awaitable[None]]


async def keep_running(task: BackgroundTask) -> None:
    """Run a part to its end; one that fails is started again.

    What a part meets must not end the process, and the requests on it.

    :param part: runs until it is done or cancelled.
    """
    while True:
        try:
            await task()
        except Exception:
            log.exception('event=part-failed')
            await trio.sleep(RESTART_DELAY_SECONDS)
        else:
            return
