"""Read-only endpoints for operators."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from clementinedeal._events import EventLog
from clementinedeal._http import Headers, RequestHead
from clementinedeal._metrics import Metrics
from clementinedeal._server_conn import ServerConn

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_JSON: Headers = ((b'content-type', b'application/json'),)
_TEXT: Headers = ((b'content-type', b'text/plain; version=0.0.4'),)


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetStatus:
    """Status of one target that the daemon owns.

    ``load`` is the number of running and queued requests per slot.
    """

    name: str
    service: str
    state: str
    load: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonStatus:
    """Status of a daemon, as ``/status`` returns it.

    ``serving`` is true while it accepts requests, ``draining`` while it is
    stopping. ``fresh`` is true while the configuration in force is known to
    be recent, and ``rejected`` names the last rejected version and the
    reason. ``config_version`` is 0 and ``preset`` empty while no configuration
    is in force. ``alive_instances`` counts the published instances that are
    alive. ``targets`` are the targets that the daemon owns.
    """

    instance: str
    incarnation: str
    zone: str
    serving: bool
    draining: bool
    config_version: int
    preset: str
    fresh: bool
    rejected: str
    alive_instances: int
    targets: tuple[TargetStatus, ...]


class OperatorEndpoints:
    """Answers ``/healthz``, ``/status``, ``/events`` and ``/metrics``."""

    def __init__(
        self,
        events: EventLog,
        metrics: Metrics,
        status: Callable[[], DaemonStatus],
        update_gauges: Callable[[], None],
    ) -> None:
        """Create the endpoints.

        :param events: served at ``/events?since=HLC`` as JSON lines.
        :param metrics: served at ``/metrics``.
        :param status: returns the daemon's status.
        :param update_gauges: called before ``/metrics`` is answered.
        """
        self._events = events
        self._metrics = metrics
        self._status = status
        self._update_gauges = update_gauges

    async def serve(self, conn: ServerConn, head: RequestHead) -> None:
        """Answer one request.

        :param conn: the operator's connection.
        :param head: the request's head.
        """
        path, _, query = head.path.partition('?')
        conn.close_unless_read()
        match path:
            case '/healthz':
                serving = self._status().serving
                await conn.respond(_OK if serving else _UNAVAILABLE, _TEXT)
            case '/status':
                body = msgspec.json.encode(self._status())
                await conn.respond(_OK, _JSON, body)
            case '/events':
                lines = self._events.json_lines(_parse_since(query))
                await conn.respond(_OK, _JSON, lines)
            case '/metrics':
                self._update_gauges()
                await conn.respond(_OK, _TEXT, self._metrics.render())
            case _:
                await conn.respond(_NOT_FOUND, _TEXT)


def _parse_since(query: str) -> int:
    name, _, text = query.partition('=')
    return int(text) if name == 'since' and text.isdigit() else 0
