"""A whole configuration as the values that the platform holds."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err, Ok, Result

from clementinedeal._errors import DECODE_ERRORS, ClementinedealError
from clementinedeal._model import Config, PresetName
from clementinedeal._parts import (
    Section,
    decode_part,
    digest_of,
    encode_section,
    identity_function,
)
from clementinedeal._validation import find_fault

FORMAT = 1
MAX_VALUE_BYTES = 1_000_000
ROOT_NAME = 'root'
PART_PREFIX = 'part-'

_Entries = dict[str, Any]


class PublicationError(ClementinedealError):
    """A publication is malformed or its configuration is not acceptable."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Root:
    """The value that names a version: preset in force and part digests."""

    format: int
    version: int
    preset: PresetName
    parts: Mapping[Section, tuple[str, ...]]

    def digests(self) -> tuple[str, ...]:
        """Return the digests of all parts."""
        return tuple(
            digest for digests in self.parts.values() for digest in digests
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Publication:
    """The values of one version; parts go before the root."""

    root: bytes
    parts: Mapping[str, bytes]  # by digest

    def values(self) -> Iterator[tuple[str, bytes]]:
        """Yield names and values in the order in which to publish them."""
        for digest, blob in self.parts.items():
            yield f'{PART_PREFIX}{digest}', blob
        yield ROOT_NAME, self.root


def pack(cfg: Config) -> Result[Publication, PublicationError]:
    """Turn a configuration into values.

    :param cfg: a checked configuration.
    """
    try:
        sections = {
            section: encode_section(section, entries)
            for section, entries in _sections(cfg).items()
        }
    except ValueError as exc:
        return Err(PublicationError(f'cannot be encoded: {exc}'))
    root = Root(
        format=FORMAT,
        version=cfg.version,
        preset=cfg.preset,
        parts={
            section: tuple(digest_of(blob) for blob in blobs)
            for section, blobs in sections.items()
        },
    )
    publication = Publication(
        root=msgspec.msgpack.encode(root),
        parts={
            digest_of(blob): blob
            for blobs in sections.values()
            for blob in blobs
        },
    )
    for name, blob in publication.values():
        if len(blob) > MAX_VALUE_BYTES:
            return Err(PublicationError(f'{name} is over {MAX_VALUE_BYTES} B'))
    return Ok(publication)


def read_root(blob: bytes) -> Result[Root, PublicationError]:
    """Decode a root value.

    :param blob: the value.
    """
    try:
        root = msgspec.msgpack.decode(blob, type=Root)
    except DECODE_ERRORS as exc:
        return Err(PublicationError(f'root is malformed: {exc}'))
    if root.format != FORMAT:
        return Err(PublicationError(f'root has format {root.format}'))
    return Ok(root)


class PartCache:
    """Decoded parts of the last version, so that a change costs little.

    Keyed by digest, whose content never changes; the outcome of ``unpack``
    is the same with any memo.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[tuple[Section, str], tuple[Any, ...]] = {}

    def decode(
        self,
        section: Section,
        digest: str,
        parts: Mapping[str, bytes],
    ) -> tuple[Any, ...]:
        """Return the entries of a part.

        :param section: kind of the entries.
        :param digest: name of the part.
        :param parts: the parts at hand.
        :raises PublicationError: it is missing or malformed.
        """
        key = (section, digest)
        if key not in self._entries:
            self._entries[key] = _decode(section, digest, parts)
        return self._entries[key]

    def retain(self, root: Root) -> None:
        """Forget the parts that a root doesn't name.

        :param root: the root.
        """
        wanted = set(root.digests())
        self._entries = {
            key: entries
            for key, entries in self._entries.items()
            if key[1] in wanted
        }


def unpack(
    root: Root,
    parts: Mapping[str, bytes],
    part_cache: PartCache | None = None,
) -> Result[Config, PublicationError]:
    """Build a configuration and check it whole.

    The outcome depends on the values alone, so all daemons agree on it.

    :param root: the root.
    :param parts: every part that the root names, by digest.
    :param memo: parts decoded before; those of this version are kept in it.
    """
    part_cache = part_cache or PartCache()
    try:
        entries = {
            section: _merge(section, root, parts, part_cache)
            for section in Section
        }
    except PublicationError as exc:
        return Err(exc)
    finally:
        part_cache.retain(root)
    cfg = _build(root, entries)
    fault = find_fault(cfg)
    if fault is not None:
        return Err(PublicationError(f'{fault.path}: {fault.reason}'))
    return Ok(cfg)


def _sections(cfg: Config) -> dict[Section, tuple[Any, ...]]:
    return {
        Section.PRESETS: tuple(cfg.presets.values()),
        Section.SERVICES: tuple(cfg.services.values()),
        Section.INSTANCES: tuple(cfg.instances.values()),
        Section.TARGETS: tuple(cfg.targets.values()),
        Section.ROUTES: cfg.routes,
        Section.ACCOUNTS: tuple(cfg.accounts.values()),
    }


def _build(root: Root, entries: dict[Section, _Entries]) -> Config:
    return Config(
        version=root.version,
        preset=root.preset,
        presets={
            preset.name: preset for preset in entries[Section.PRESETS].values()
        },
        services=entries[Section.SERVICES],
        targets=entries[Section.TARGETS],
        routes=tuple(entries[Section.ROUTES].values()),
        accounts=entries[Section.ACCOUNTS],
        instances=entries[Section.INSTANCES],
    )


def _merge(
    section: Section,
    root: Root,
    parts: Mapping[str, bytes],
    part_cache: PartCache,
) -> _Entries:
    identity = identity_function(section)
    merged: _Entries = {}
    count = 0
    for digest in root.parts.get(section, ()):
        entries = part_cache.decode(section, digest, parts)
        merged.update(zip(map(identity, entries), entries, strict=True))
        count += len(entries)
    if len(merged) != count:
        raise PublicationError(f'{section.value}: an entry is given twice')
    return dict(sorted(merged.items()))


def _decode(
    section: Section,
    digest: str,
    parts: Mapping[str, bytes],
) -> tuple[Any, ...]:
    blob = parts.get(digest)
    if blob is None:
        raise PublicationError(f'part {digest} is missing')
    if digest_of(blob) != digest:
        raise PublicationError(f'part {digest} has another digest')
    try:
        return decode_part(section, blob)
    except DECODE_ERRORS as exc:
        raise PublicationError(f'part {digest} is malformed: {exc}') from exc
