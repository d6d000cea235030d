"""Probes targets that are leaving, to find out when they are back."""

from collections.abc import Callable

import trio

from clementinedeal._http import ConnLostError, HttpError, RequestHead
from clementinedeal._model import Target
from clementinedeal._pool import ConnPool
from clementinedeal._target_call import TARGET_STATE_HEADER

PROBE_INTERVAL_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.5
PROBE_PATH = '/probe'
_OK = 200


class Prober:
    """Sends probes to owned targets that are leaving.

    A leaving target gets no requests that could show that it is back. The
    health of all other targets is concluded from their requests.
    """

    def __init__(
        self,
        pool: ConnPool,
        list_leaving: Callable[[], tuple[Target, ...]],
        on_back: Callable[[str], None],
    ) -> None:
        """Create a prober.

        :param pool: pool of connections to targets.
        :param list_leaving: returns the targets to probe.
        :param on_back: called with the name of a target that is back.
        """
        self._pool = pool
        self._list_leaving = list_leaving
        self._on_back = on_back

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await trio.sleep(PROBE_INTERVAL_SECONDS)
            for target in self._list_leaving():
                if await self._is_back(target):
                    self._on_back(target.name)

    async def _is_back(self, target: Target) -> bool:
        with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
            try:
                return await self._probe(target.address)
            except (ConnLostError, HttpError):
                return False
        return False

    async def _probe(self, address: str) -> bool:
        conn = await self._pool.acquire(address)
        head = RequestHead('GET', PROBE_PATH, ((b'host', address.encode()),))
        try:
            await conn.send_whole(head, b'')
            answer = await conn.read_head()
        finally:
            await conn.aclose()
        is_staying = answer.header(TARGET_STATE_HEADER) is None
        return answer.status == _OK and is_staying
