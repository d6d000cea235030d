"""Complete HTTP requests and answers of the stand-ins."""

from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

HeaderList = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class WebRequest:
    """One complete request.

    :param method: HTTP method.
    :param target: request target: encoded path and query.
    :param headers: names in lower case, and values.
    :param body: the whole body.
    """

    method: str
    target: str
    headers: HeaderList = ()
    body: bytes = b''

    @property
    def path(self) -> str:
        """Return the decoded path without the query."""
        return unquote(urlsplit(self.target).path)

    def header(self, name: str, default: str = '') -> str:
        """Return the first value of a header.

        :param name: header name in lower case.
        :param default: returned when the header is absent.
        """
        return first_header(self.headers, name, default)

    def query(self, name: str, default: str = '') -> str:
        """Return the last value of a query parameter.

        :param name: parameter name.
        :param default: returned when the parameter is absent.
        """
        pairs = parse_qsl(urlsplit(self.target).query)
        return dict(pairs).get(name, default)


@dataclass(frozen=True, slots=True, kw_only=True)
class WebAnswer:
    """One answer and how it is sent.

    :param status: HTTP status.
    :param headers: names in lower case, and values.
    :param body: the whole body.
    :param chunked: whether the body is sent in chunks, without a length.
    :param cut_after_bytes: number of bytes of the body after which the
        connection is closed, ``None`` to send the whole body.
    :param is_dropped: whether the connection is closed without an answer.
    """

    status: int = 200
    headers: HeaderList = ()
    body: bytes = b''
    chunked: bool = False
    cut_after_bytes: int | None = None
    is_dropped: bool = False

    def header(self, name: str, default: str = '') -> str:
        """Return the first value of a header.

        :param name: header name in lower case.
        :param default: returned when the header is absent.
        """
        return first_header(self.headers, name, default)


def first_header(headers: HeaderList, name: str, default: str) -> str:
    """Return the first value of a header in a list.

    :param headers: names in lower case, and values.
    :param name: header name in lower case.
    :param default: returned when the header is absent.
    """
    for field_name, field_value in headers:
        if field_name == name:
            return field_value
    return default


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Decode the headers of an h11 event.

    :param headers: names and values as bytes.
    """
    return tuple(
        (name.decode('latin-1'), field_value.decode('latin-1'))
        for name, field_value in headers
    )
