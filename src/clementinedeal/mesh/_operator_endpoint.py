"""The HTTP endpoint for operators: readiness and metrics."""

from collections.abc import Callable

from clementinedeal._http import RequestHead
from clementinedeal._server_conn import ServerConn
from clementinedeal.mesh._contracts import Dialect
from clementinedeal.mesh._metrics import DaemonMetrics

METRICS_PATH = '/metrics'
_METRICS_TYPE = ((b'content-type', b'text/plain; version=0.0.4'),)
_OK = 200
_UNAVAILABLE = 503
_NOT_FOUND = 404


class OperatorEndpoint:
    """Answers the platform's ready check and scrapes of the metrics."""

    def __init__(
        self,
        dialect: Dialect,
        is_ready: Callable[[], bool],
        metrics: DaemonMetrics,
    ) -> None:
        """Create an endpoint.

        :param dialect: recognizes the ready check.
        :param is_ready: returns whether the daemon takes new requests.
        :param metrics: rendered at each scrape.
        """
        self._dialect = dialect
        self._is_ready = is_ready
        self._metrics = metrics

    async def serve(self, conn: ServerConn, head: RequestHead) -> None:
        """Answer one request.

        :param conn: the operator's connection.
        :param head: the request's head.
        """
        await conn.discard_body()
        if head.path == METRICS_PATH:
            await conn.respond(_OK, _METRICS_TYPE, self._metrics.render())
        elif self._dialect.is_ready_check(head):
            await conn.respond(_OK if self._is_ready() else _UNAVAILABLE, ())
        else:
            await conn.respond(_NOT_FOUND, ())
