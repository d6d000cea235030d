"""Encodes what differs between two declarations.

A declaration with thousands of routes takes a small instance's link seconds to
receive, its change from the one before mostly milliseconds.
"""

import zlib
from collections.abc import Iterable, Sequence
from typing import Any, Generic, Protocol, TypeVar

import msgspec
import xxhash

from clementinedeal._errors import DECODE_ERRORS, ClementinedealError
from clementinedeal.mesh._types import (
    ClientAccount,
    Declaration,
    RequestLimits,
    RouteRule,
    ServiceRule,
)

# Fingerprint that stands for no declaration at all.
NO_FINGERPRINT = 0
# Size of the largest change that is decoded.
MAX_DECODED_BYTES = 32 << 20
# Routes repeat most of their text, so that little effort compresses them well.
_COMPRESSION_LEVEL = 1
# The order of a set differs from process to process.
_ENCODER = msgspec.msgpack.Encoder(order='deterministic')
_FINGERPRINT_COUNT = 1 << 64
_NOTHING = Declaration(version=0, routes=(), services=(), accounts=())
_READ_ERRORS = (zlib.error, *DECODE_ERRORS)


class ChangeError(ClementinedealError):
    """A change that cannot be read, or does not lead to what it should."""


class _Named(Protocol):
    @property
    def name(self) -> str: ...


_Entry = TypeVar('_Entry', bound=_Named)


class _Entries(msgspec.Struct, Generic[_Entry], frozen=True, array_like=True):
    """Entries that are new or changed, and the names of those removed."""

    changed: tuple[_Entry, ...]
    removed: tuple[str, ...]

    @property
    def names(self) -> set[str]:
        """Names of all entries that are not what they were."""
        return {one.name for one in self.changed}.union(self.removed)


class DeclarationChange(msgspec.Struct, frozen=True, array_like=True):
    """Turns a declaration into another one.

    ``base_fingerprint`` identifies the former, ``NO_FINGERPRINT`` if the change
    holds the whole declaration; ``fingerprint`` identifies the result.
    """

    base_fingerprint: int
    fingerprint: int
    version: int
    routes: _Entries[RouteRule]
    services: _Entries[ServiceRule]
    accounts: _Entries[ClientAccount]
    limits: RequestLimits
    unknown_kinds: tuple[str, ...]


def compute_fingerprint(declaration: Declaration) -> int:
    """Return a number that identifies the content of a declaration.

    It is a sum over the entries: it does not depend on their order, and that of
    a changed declaration follows from the entries that differ.

    :param declaration: the declaration.
    """
    return _add_hashes(
        NO_FINGERPRINT,
        *declaration.routes,
        *declaration.services,
        *declaration.accounts,
        *_rest(declaration),
    )


def encode_change(
    declaration: Declaration,
    fingerprint: int,
    base: Declaration | None = None,
    base_fingerprint: int = NO_FINGERPRINT,
) -> bytes:
    """Encode the change that leads to a declaration.

    :param declaration: the declaration.
    :param fingerprint: identifies it.
    :param base: the declaration that the receiver has, None if it has none
        that is known here.
    :param base_fingerprint: identifies the base.
    """
    if base is None or not (_has_names(declaration) and _has_names(base)):
        base, base_fingerprint = _NOTHING, NO_FINGERPRINT
    change = DeclarationChange(
        base_fingerprint=base_fingerprint,
        fingerprint=fingerprint,
        version=declaration.version,
        routes=_compare(base.routes, declaration.routes),
        services=_compare(base.services, declaration.services),
        accounts=_compare(base.accounts, declaration.accounts),
        limits=declaration.limits,
        unknown_kinds=declaration.unknown_kinds,
    )
    return zlib.compress(_ENCODER.encode(change), _COMPRESSION_LEVEL)


def decode_change(blob: bytes) -> DeclarationChange:
    """Decode a change.

    :param blob: the encoded change.
    :raises ChangeError: it cannot be read, or is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(blob, MAX_DECODED_BYTES)
        change = msgspec.msgpack.decode(encoded, type=DeclarationChange)
    except _READ_ERRORS as exc:
        raise ChangeError(f'unreadable change: {exc}') from exc
    if not decompressor.eof:
        raise ChangeError(f'change cut or over {MAX_DECODED_BYTES} bytes')
    return change


def apply_change(
    change: DeclarationChange, base: Declaration | None, base_fingerprint: int
) -> Declaration:
    """Return the declaration that a change leads to.

    :param change: the change.
    :param base: the declaration to change, if any.
    :param base_fingerprint: identifies it.
    :raises ChangeError: the change starts from another declaration, or leads
        to another one than it names.
    """
    if base is None or change.base_fingerprint == NO_FINGERPRINT:
        base, base_fingerprint = _NOTHING, NO_FINGERPRINT
    if change.base_fingerprint != base_fingerprint:
        raise ChangeError('the change is one of another declaration')
    declaration = Declaration(
        version=change.version,
        routes=_merge(base.routes, change.routes),
        services=_merge(base.services, change.services),
        accounts=_merge(base.accounts, change.accounts),
        limits=change.limits,
        unknown_kinds=change.unknown_kinds,
    )
    ended = _find_ended(base, change) if base_fingerprint else ()
    fingerprint = _add_hashes(
        base_fingerprint - _add_hashes(NO_FINGERPRINT, *ended),
        *change.routes.changed,
        *change.services.changed,
        *change.accounts.changed,
        *_rest(declaration),
    )
    if fingerprint != change.fingerprint:
        raise ChangeError('the change leads to another declaration')
    return declaration


def _find_ended(
    base: Declaration, change: DeclarationChange
) -> tuple[Any, ...]:
    """Return all parts of a declaration that a change removes or replaces."""
    return (
        *_find_replaced(base.routes, change.routes),
        *_find_replaced(base.services, change.services),
        *_find_replaced(base.accounts, change.accounts),
        *_rest(base),
    )


def _rest(declaration: Declaration) -> tuple[Any, ...]:
    """Return what a declaration holds besides its entries."""
    return declaration.version, declaration.limits, declaration.unknown_kinds


def _add_hashes(fingerprint: int, *entries: Any) -> int:
    hashes = map(xxhash.xxh3_64_intdigest, map(_ENCODER.encode, entries))
    return (fingerprint + sum(hashes)) % _FINGERPRINT_COUNT


def _has_names(declaration: Declaration) -> bool:
    """Whether the entries of each kind are told apart by their names."""
    kinds: Iterable[Sequence[_Named]] = (
        declaration.routes,
        declaration.services,
        declaration.accounts,
    )
    return all(
        len({one.name for one in entries}) == len(entries) for entries in kinds
    )


def _compare(
    former: Sequence[_Entry], entries: Sequence[_Entry]
) -> _Entries[_Entry]:
    if not former:
        return _Entries(changed=tuple(entries), removed=())
    known = {one.name: one for one in former}
    changed = tuple(one for one in entries if known.get(one.name) != one)
    removed = known.keys() - {one.name for one in entries}
    return _Entries(changed=changed, removed=tuple(sorted(removed)))


def _merge(
    former: Sequence[_Entry], entries: _Entries[_Entry]
) -> tuple[_Entry, ...]:
    names = entries.names
    kept = [one for one in former if one.name not in names]
    return (*kept, *entries.changed)


def _find_replaced(
    former: Sequence[_Entry], entries: _Entries[_Entry]
) -> list[_Entry]:
    names = entries.names
    return [one for one in former if one.name in names]
