"""Encodes a configuration as platform values and decodes it again.

A version consists of immutable parts, named by the digest of their content,
and a root that lists those digests. A new version shares all unchanged parts
with the previous one.
"""

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

FORMAT = 1  # version of the encoding
MAX_VALUE_BYTES = 1_000_000  # largest value that the platform accepts
ROOT_NAME = 'root'
PART_PREFIX = 'part-'

_Entries = dict[str, Any]


class PublicationError(ClementinedealError):
    """A publication is malformed or its configuration is invalid."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Root:
    """The value that defines a version.

    ``format`` is the version of this encoding, ``preset`` the preset in force,
    and ``parts`` lists the part digests of each section.
    """

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
    """The encoded values of one version; ``parts`` is keyed by digest."""

    root: bytes
    parts: Mapping[str, bytes]

    def values(self) -> Iterator[tuple[str, bytes]]:
        """Yield names and values in the order in which to publish them.

        The root comes last, so that its parts can be read once it appears.
        """
        for digest, blob in self.parts.items():
            yield f'{PART_PREFIX}{digest}', blob
        yield ROOT_NAME, self.root


def pack(cfg: Config) -> Result[Publication, PublicationError]:
    """Encode a configuration as platform values.

    :param cfg: a valid configuration.
    """
    try:
        sections = {
            section: encode_section(section, entries)
            for section, entries in _sections(cfg).items()
        }
    except ValueError as exc:
        return Err(PublicationError(f'configuration cannot be encoded: {exc}'))
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
            return Err(
                PublicationError(
                    f'value {name} is larger than {MAX_VALUE_BYTES} bytes'
                )
            )
    return Ok(publication)


def read_root(blob: bytes) -> Result[Root, PublicationError]:
    """Decode a root.

    :param blob: the encoded root.
    """
    try:
        root = msgspec.msgpack.decode(blob, type=Root)
    except DECODE_ERRORS as exc:
        return Err(PublicationError(f'root is malformed: {exc}'))
    if root.format != FORMAT:
        return Err(
            PublicationError(
                f'root has unknown format {root.format}, expected {FORMAT}'
            )
        )
    return Ok(root)


class PartCache:
    """Decoded parts of the last version, reused for parts that did not change.

    Parts are keyed by digest, so the content of an entry never changes and
    ``unpack`` returns the same with any cache.
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
        """Return the decoded entries of a part.

        :param section: section that the part belongs to.
        :param digest: digest of the part.
        :param parts: encoded parts by digest.
        :raises PublicationError: the part is missing or malformed.
        """
        key = (section, digest)
        if key not in self._entries:
            self._entries[key] = _decode(section, digest, parts)
        return self._entries[key]

    def retain(self, root: Root) -> None:
        """Discard the parts that a root does not list.

        :param root: the root of the version in use.
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
    """Decode a configuration and validate it.

    The result depends on the values alone, so all daemons agree on it.

    :param root: the decoded root.
    :param parts: all parts that the root lists, encoded, by digest.
    :param part_cache: parts decoded before; those of this version stay in it.
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
        raise PublicationError(f'{section.value}: an entry is defined twice')
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
        raise PublicationError(f'part {digest} does not match its digest')
    try:
        return decode_part(section, blob)
    except DECODE_ERRORS as exc:
        raise PublicationError(f'part {digest} is malformed: {exc}') from exc
