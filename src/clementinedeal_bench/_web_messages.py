"""Requests and answers of the stand-ins, buffered whole."""

from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

HeaderList = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class WebRequest:
    """One whole request; header names are in lower case."""

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
    """One answer and how it is delivered.

    ``chunked`` sends chunks in place of a content length. ``cut`` closes the
    connection after so many body bytes. ``drop`` closes it without an answer.
    """

    status: int = 200
    headers: HeaderList = ()
    body: bytes = b''
    chunked: bool = False
    cut_after_bytes: int | None = None
    drop: bool = False

    def header(self, name: str, default: str = '') -> str:
        """Return the first value of a header.

        :param name: header name in lower case.
        :param default: returned when the header is absent.
        """
        return first_header(self.headers, name, default)


def first_header(headers: HeaderList, name: str, default: str) -> str:
    """Return the first value of a header in a list.

    :param headers: pairs with names in lower case.
    :param name: header name in lower case.
    :param default: returned when the header is absent.
    """
    for field_name, field_value in headers:
        if field_name == name:
            return field_value
    return default


def text_headers(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Decode the headers of an h11 event.

    :param headers: headers as h11 gives them.
    """
    return tuple(
        (name.decode('latin-1'), field_value.decode('latin-1'))
        for name, field_value in headers
    )
