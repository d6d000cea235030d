"""The HTTP endpoint for operators: readiness, metrics and explanations."""

from collections.abc import Callable
from urllib.parse import parse_qsl

import msgspec

from clementinedeal._http import RequestHead
from clementinedeal._server_conn import ServerConn
from clementinedeal.mesh._contracts import Dialect
from clementinedeal.mesh._explanation import EXPLAIN_PATH, Explainer
from clementinedeal.mesh._metrics import DaemonMetrics

METRICS_PATH = '/metrics'
_METRICS_TYPE = ((b'content-type', b'text/plain; version=0.0.4'),)
_JSON_TYPE = ((b'content-type', b'application/json'),)
_OK = 200
_UNAVAILABLE = 503
_NOT_FOUND = 404


class OperatorEndpoint:
    """Answers the platform's ready check and the operators' requests."""

    def __init__(
        self,
        dialect: Dialect,
        is_ready: Callable[[], bool],
        metrics: DaemonMetrics,
        explainer: Explainer,
    ) -> None:
        """Create an endpoint.

        :param dialect: recognizes the ready check.
        :param is_ready: returns whether the daemon takes new requests.
        :param metrics: rendered at each scrape.
        :param explainer: explains where requests would go.
        """
        self._dialect = dialect
        self._is_ready = is_ready
        self._metrics = metrics
        self._explainer = explainer

    async def serve(self, conn: ServerConn, head: RequestHead) -> None:
        """Answer one request.

        :param conn: the operator's connection.
        :param head: the request's head.
        """
        await conn.discard_body()
        path, _, query = head.path.partition('?')
        if head.path == METRICS_PATH:
            await conn.respond(_OK, _METRICS_TYPE, self._metrics.render())
        elif path == EXPLAIN_PATH:
            await conn.respond(_OK, _JSON_TYPE, self._explain(query))
        elif self._dialect.is_ready_check(head):
            await conn.respond(_OK if self._is_ready() else _UNAVAILABLE, ())
        else:
            await conn.respond(_NOT_FOUND, ())

    def _explain(self, query: str) -> bytes:
        fields = dict(parse_qsl(query))
        explanation = self._explainer.explain(
            fields.get('host', ''),
            fields.get('path', '/'),
            fields.get('account', ''),
        )
        return msgspec.json.encode(explanation)
