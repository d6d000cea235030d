"""Collects the values of one version from peers or the platform."""

from collections.abc import Mapping

from clementinedeal._acceptance import Bundle
from clementinedeal._model import Instance
from clementinedeal._parts import Section, decode_part, digest_of
from clementinedeal._publication import Root, read_root
from clementinedeal._view_messages import VersionRef

ANSWER_TIMEOUT_SECONDS = 1.0  # then the next source is asked
MAX_PARTS_PER_REQUEST = 32


class Pull:
    """The values of one version that are held and those that are missing.

    A value is accepted only if its digest is the expected one, so it does not
    matter which peer sends it. ``sources`` names the peers known to hold the
    version; they are asked in turn. ``root`` is None and ``root_blob`` empty
    until the root is held.
    """

    def __init__(self, ref: VersionRef) -> None:
        """Start without values.

        :param ref: number and digest of the version to pull.
        """
        self.ref = ref
        self.root: Root | None = None
        self.root_blob = b''
        self.sources: list[str] = []
        self._parts: dict[str, bytes] = {}
        self._missing: dict[str, None] = {}
        self._waits_until = 0.0

    def add_source(self, peer: str) -> None:
        """Note that a peer holds the version.

        :param peer: name of the peer.
        """
        if peer not in self.sources:
            self.sources.append(peer)

    def drop_source(self, peer: str) -> None:
        """Stop asking a peer.

        :param peer: name of the peer.
        """
        if peer in self.sources:
            self.sources.remove(peer)

    def next_source(self, now: float) -> str | None:
        """Return the peer to ask now, None while an answer is awaited.

        :param now: monotonic seconds.
        """
        if now < self._waits_until or not self.sources:
            return None
        peer = self.sources.pop(0)
        self.sources.append(peer)
        self._waits_until = now + ANSWER_TIMEOUT_SECONDS
        return peer

    def on_answer(self) -> None:
        """Note that the awaited answer arrived."""
        self._waits_until = 0.0

    def on_root(self, blob: bytes, known: Mapping[str, bytes]) -> str:
        """Take the root; return why it is unusable, or an empty text.

        A root with another digest belongs to another version and is ignored.

        :param blob: the encoded root.
        :param known: encoded parts of other versions by digest, used where
            this version has the same part.
        """
        if digest_of(blob) != self.ref.digest:
            return ''
        outcome = read_root(blob)
        if outcome.is_err():
            return str(outcome.err())
        root = outcome.unwrap()
        if root.version != self.ref.version:
            return f'the root has another version number, {root.version}'
        self.root = root
        self.root_blob = blob
        for digest in root.digests():
            part = known.get(digest)
            if part is None:
                self._missing[digest] = None
            else:
                self._parts[digest] = part
        return ''

    def on_part(self, blob: bytes) -> None:
        """Take a part if it is missing; ignore any other.

        :param blob: the encoded part.
        """
        digest = digest_of(blob)
        if digest in self._missing:
            self._missing.pop(digest)
            self._parts[digest] = blob

    def missing_digests(
        self, max_count: int = MAX_PARTS_PER_REQUEST
    ) -> tuple[str, ...]:
        """Return the digests of missing parts, those of instances first.

        A daemon that has just started needs the instances to know its peers.

        :param max_count: largest number of digests returned.
        """
        instance_digests = [
            digest
            for digest in self._instance_digests()
            if digest in self._missing
        ]
        other_digests = (
            digest for digest in self._missing if digest not in instance_digests
        )
        return (*instance_digests, *other_digests)[:max_count]

    def has_instances(self) -> bool:
        """Return whether the root and all parts with instances are held."""
        digests = self._instance_digests()
        has_parts = all(digest in self._parts for digest in digests)
        return has_parts and self.root is not None

    def instances(self) -> tuple[Instance, ...]:
        """Return the instances that the version publishes.

        All parts with instances must be held (``has_instances``).

        :raises msgspec.MsgspecError: a part is malformed.
        """
        return tuple(
            entry
            for digest in self._instance_digests()
            for entry in decode_part(
                Section.INSTANCES,
                self._parts[digest],
            )
        )

    def find_part(self, digest: str) -> bytes | None:
        """Return an encoded part, None if it is not held.

        :param digest: digest of the part.
        """
        return self._parts.get(digest)

    def complete_bundle(self) -> Bundle | None:
        """Return the complete version, None while values are missing."""
        if self.root is None or self._missing:
            return None
        return Bundle(self.ref, self.root, self.root_blob, self._parts)

    def _instance_digests(self) -> tuple[str, ...]:
        if self.root is None:
            return ()
        return self.root.parts.get(Section.INSTANCES, ())
