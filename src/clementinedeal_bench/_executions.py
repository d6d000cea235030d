"""Records of the requests that a stand-in target executed."""

import enum
import hashlib
from collections import Counter

import msgspec

from clementinedeal_bench._web_messages import WebRequest


class ExecutionState(enum.Enum):
    """How far an execution got.

    ``STOPPED`` is an execution that was abandoned at its deadline or after a
    cancel call.
    """

    RUNNING = 'running'
    FINISHED = 'finished'
    STOPPED = 'stopped'


class Execution(msgspec.Struct, kw_only=True):
    """One request on which a target began to work.

    Written and read as a JSON line.

    :param target: name of the target.
    :param request_id: the ``x-request-id`` of the request.
    :param method: method of the request.
    :param path: path and query of the request.
    :param body_sha256: hex digest of the request's body.
    :param header_names: names of the request's headers, in lower case.
    :param start: monotonic seconds at which work began.
    :param leaving_for: seconds at the start since the target began to leave, 0
        if it was not leaving.
    :param end: monotonic seconds at which work ended.
    :param state: how far the execution got.
    """

    target: str
    request_id: str
    method: str
    path: str
    body_sha256: str
    header_names: tuple[str, ...]
    start: float
    leaving_for: float = 0
    end: float | None = None
    state: ExecutionState = ExecutionState.RUNNING


class ExecutionLog:
    """The executions of one target, in the order in which they began."""

    def __init__(self, target: str) -> None:
        """Create an empty log.

        :param target: name of the target.
        """
        self._target = target
        self._executions: list[Execution] = []

    def begin(
        self,
        req: WebRequest,
        now: float,
        leaving_for: float,
    ) -> Execution:
        """Record that work on a request begins, and return the record.

        :param req: the request.
        :param now: monotonic seconds.
        :param leaving_for: seconds since the target began to leave, else 0.
        """
        execution = Execution(
            target=self._target,
            request_id=req.header('x-request-id'),
            method=req.method,
            path=req.target,
            body_sha256=hashlib.sha256(req.body).hexdigest(),
            header_names=tuple(name for name, _ in req.headers),
            start=now,
            leaving_for=leaving_for,
        )
        self._executions.append(execution)
        return execution

    def end(
        self, execution: Execution, state: ExecutionState, now: float
    ) -> None:
        """Record how an execution ended.

        :param execution: the record from ``begin``.
        :param state: how it ended.
        :param now: monotonic seconds.
        """
        execution.state = state
        execution.end = now

    def count_by_state(self) -> dict[str, int]:
        """Return the number of executions by state."""
        return dict(
            Counter(execution.state.value for execution in self._executions)
        )

    def json_lines(self) -> bytes:
        """Return all executions as JSON lines."""
        return encode_lines(self._executions)


def encode_lines(executions: list[Execution]) -> bytes:
    """Encode executions as JSON lines.

    :param executions: the executions.
    """
    return msgspec.json.Encoder().encode_lines(executions)


def decode_lines(blob: bytes) -> list[Execution]:
    """Decode the executions that a target reports.

    :param blob: JSON lines.
    """
    return msgspec.json.Decoder(Execution).decode_lines(blob)
