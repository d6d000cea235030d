"""Encodes the entries of a configuration into immutable parts.

The entries of a section are distributed over buckets by a hash of their
identity; a part is the encoded content of one bucket.
"""

import enum
import hashlib
import operator
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
import xxhash

from clementinedeal._model import (
    Account,
    Instance,
    Preset,
    Route,
    Service,
    Target,
)

DIGEST_BYTES = 16
# A changed entry makes daemons fetch one part and the root, which for the
# largest configurations are of about the same size. Smaller parts would make
# the root larger.
MAX_PART_BYTES = 24_000
# Larger, because a daemon that starts must read all parts with instances
# before it knows its peers.
MAX_INSTANCE_PART_BYTES = 200_000
HASH_BITS = 64  # bits of the hash by which buckets can be split

_ENCODER = msgspec.msgpack.Encoder(order='deterministic')


class Section(enum.Enum):
    """A section of the configuration; a part holds entries of one section."""

    PRESETS = 'presets'
    SERVICES = 'services'
    INSTANCES = 'instances'
    TARGETS = 'targets'
    ROUTES = 'routes'
    ACCOUNTS = 'accounts'


_DECODERS: dict[Section, msgspec.msgpack.Decoder[Any]] = {
    Section.PRESETS: msgspec.msgpack.Decoder(tuple[Preset, ...]),
    Section.SERVICES: msgspec.msgpack.Decoder(tuple[Service, ...]),
    Section.INSTANCES: msgspec.msgpack.Decoder(tuple[Instance, ...]),
    Section.TARGETS: msgspec.msgpack.Decoder(tuple[Target, ...]),
    Section.ROUTES: msgspec.msgpack.Decoder(tuple[Route, ...]),
    Section.ACCOUNTS: msgspec.msgpack.Decoder(tuple[Account, ...]),
}


def digest_of(blob: bytes) -> str:
    """Return the hex BLAKE2b digest that identifies a value.

    :param blob: the encoded value.
    """
    return hashlib.blake2b(blob, digest_size=DIGEST_BYTES).hexdigest()


def identity_function(section: Section) -> Callable[[Any], str]:
    """Return the function that maps an entry to its unique identity.

    :param section: section of the entries.
    """
    if section is Section.ROUTES:
        return _route_identity
    if section is Section.PRESETS:
        return operator.attrgetter('name.value')
    return operator.attrgetter('name')


def encode_section(section: Section, entries: Sequence[Any]) -> list[bytes]:
    """Encode the entries of a section into parts.

    Entries are distributed by a hash of their identity. A bucket that is too
    large is split in two by the next bit of the hash, so a change of one
    entry changes only the part that holds it, unless a bucket is split or
    merged.

    :param section: section of the entries.
    :param entries: all entries of the section, in any order.
    :raises ValueError: an entry cannot be encoded.
    """
    max_bytes = MAX_PART_BYTES
    if section is Section.INSTANCES:
        max_bytes = MAX_INSTANCE_PART_BYTES
    identity = identity_function(section)
    hashed = [
        (xxhash.xxh3_64_intdigest(identity(entry).encode()), entry)
        for entry in sorted(entries, key=identity)
    ]
    return list(_split(hashed, max_bytes, HASH_BITS)) if hashed else []


def decode_part(section: Section, blob: bytes) -> tuple[Any, ...]:
    """Decode a part.

    :param section: section that the part belongs to.
    :param blob: a part that ``encode_section`` returned.
    :raises msgspec.MsgspecError: the part is malformed.
    """
    entries: tuple[Any, ...] = _DECODERS[section].decode(blob)
    return entries


def _route_identity(route: Route) -> str:
    return f'{route.method} {route.prefix}'


def _split(
    hashed: list[tuple[int, Any]],
    max_bytes: int,
    bits: int,
) -> list[bytes]:
    blob = _encode([entry for _, entry in hashed])
    if len(blob) <= max_bytes or len(hashed) == 1 or bits == 0:
        return [blob]
    mask = 1 << (bits - 1)
    halves = (
        [pair for pair in hashed if not pair[0] & mask],
        [pair for pair in hashed if pair[0] & mask],
    )
    return [
        blob
        for half in halves
        if half
        for blob in _split(half, max_bytes, bits - 1)
    ]


def _encode(entries: list[Any]) -> bytes:
    try:
        return _ENCODER.encode(entries)
    except (OverflowError, msgspec.MsgspecError) as exc:
        raise ValueError(str(exc)) from exc
