"""Network addresses written as ``ip:port``."""

import functools
import ipaddress
from typing import NamedTuple

MAX_PORT = 65535
# Holds the addresses of a whole fleet, which are checked at each new version.
MAX_CACHED_ADDRESSES = 16_384


class Address(NamedTuple):
    """An IP address, without brackets, and a port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse an ``ip:port`` text; an IPv6 address is written in brackets.

    :param text: the address.
    :raises ValueError: the text is not an IP address with a port from 1 to
        65535.
    """
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f'{text!r} is not ip:port')
    if host.startswith('[') and host.endswith(']'):
        return Address(str(ipaddress.IPv6Address(host[1:-1])), int(port))
    return Address(str(ipaddress.IPv4Address(host)), int(port))


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def is_address(text: str) -> bool:
    """Return whether a text is a valid ``ip:port``.

    :param text: the address.
    """
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
