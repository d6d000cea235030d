"""Sends a request with a large body while its answer is read."""

import contextlib

import trio

from clementinedeal._client_conn import ClientConn
from clementinedeal._http import Body, ConnLostError, RequestHead

# An answer without a length that ends during an upload is complete only if the
# target then does not reset the connection. It is on the same host, so that a
# reset follows at once the bytes that it does not read.
RESET_WAIT_SECONDS = 0.05


class Upload:
    """One request on its way.

    ``is_sent`` is true once all of it is written.
    """

    def __init__(self, conn: ClientConn, head: RequestHead, body: Body) -> None:
        """Create an upload that has not begun.

        :param conn: an idle connection.
        :param head: request line and headers.
        :param body: the whole body.
        """
        self._conn = conn
        self._head = head
        self._body = body
        self._ended = trio.Event()
        self.is_sent = False

    async def run(self) -> None:
        """Send the request; a loss is reported by the task that reads."""
        with contextlib.suppress(ConnLostError):
            await self._conn.send_whole(self._head, self._body)
            self.is_sent = True
        self._ended.set()

    async def wait_for_reset(self) -> None:
        """Wait until it has ended, or until no reset is to be expected."""
        with trio.move_on_after(RESET_WAIT_SECONDS):
            await self._ended.wait()
