"""The stream of a client: checks of responses that h11 does not make."""

import h11
import trio

from clementinedeal._http import (
    READ_BYTES,
    H11Stream,
    HttpError,
    WriteLostError,
)

# Greater ones are invalid, see RFC 9110, section 15. h11 refuses those below
# 100 and takes all of three digits from there on.
MAX_STATUS = 599
_HEAD_STATES = frozenset((h11.IDLE, h11.SEND_RESPONSE))


class ResponseStream(H11Stream):
    """Sends requests on a connection and reads their responses."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        """Wrap a stream on which nothing was sent or received yet.

        :param stream: the connection.
        """
        super().__init__(stream, h11.CLIENT, READ_BYTES)
        self._has_write_failed = False

    @property
    def has_ended(self) -> bool:
        """Whether the end of the stream was received."""
        return self.h11.trailing_data[1]

    @property
    def was_reset(self) -> bool:
        """Whether the end of the stream may have been a reset.

        The system reports a reset to one call only. If that is a write, reads
        then meet a regular end.
        """
        return self._has_write_failed and self.has_ended

    def _parse(self) -> h11.Event | type[object]:
        if self.h11.their_state not in _HEAD_STATES:
            return super()._parse()
        received = self.h11.trailing_data[0]
        event = super()._parse()
        if isinstance(event, (h11.Response, h11.InformationalResponse)):
            unparsed = self.h11.trailing_data[0]
            _check_lines(received[: len(received) - len(unparsed)])
            if event.status_code > MAX_STATUS:
                raise HttpError(f'invalid status {event.status_code}')
        return event

    async def _write(self, blob: bytes) -> None:
        try:
            await super()._write(blob)
        except WriteLostError:
            self._has_write_failed = True
            raise


def _check_lines(head: bytes) -> None:
    r"""Check the lines of a head that h11 has parsed.

    h11 appends a line that begins with white space to the line before it (RFC
    9112, section 5.2, allows to reject it) and takes ``\n`` for ``\r\n``. If
    a header name is damaged in this way, a header is lost or the head ends
    early, so that the body is another one.

    :param head: the head up to the blank line that ends it.
    :raises HttpError: a line is continued, or line ends differ.
    """
    if b'\n ' in head or b'\n\t' in head:
        raise HttpError('continued line in the head of a response')
    if head.count(b'\r\n') not in {0, head.count(b'\n')}:
        raise HttpError('different line ends in the head of a response')
