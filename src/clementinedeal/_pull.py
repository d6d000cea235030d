"""Gathering the values of one version from peers or the platform."""

from collections.abc import Mapping

from clementinedeal._acceptance import Bundle
from clementinedeal._model import Instance
from clementinedeal._parts import Section, decode_part, digest_of
from clementinedeal._publication import Root, read_root
from clementinedeal._view_messages import VersionRef

ANSWER_TIMEOUT_SECONDS = 1.0
MAX_PARTS_PER_REQUEST = 32


class Pull:
    """What is held and lacking of one version.

    Values are taken only if they have the digest that was asked for, so it
    does not matter who sends them.
    """

    def __init__(self, ref: VersionRef) -> None:
        """Start with nothing.

        :param ref: the version wanted.
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

        :param peer: its name.
        """
        if peer not in self.sources:
            self.sources.append(peer)

    def drop_source(self, peer: str) -> None:
        """Stop asking a peer.

        :param peer: its name.
        """
        if peer in self.sources:
            self.sources.remove(peer)

    def next_source(self, now: float) -> str | None:
        """Return whom to ask now, if nobody's answer is awaited.

        :param now: monotonic seconds.
        """
        if now < self._waits_until or not self.sources:
            return None
        peer = self.sources.pop(0)
        self.sources.append(peer)
        self._waits_until = now + ANSWER_TIMEOUT_SECONDS
        return peer

    def on_reply(self) -> None:
        """Note that the awaited answer came."""
        self._waits_until = 0.0

    def on_root(self, blob: bytes, known: Mapping[str, bytes]) -> str:
        """Take the root; return why it is unusable, or nothing.

        :param blob: the value.
        :param known: parts at hand by digest.
        """
        if digest_of(blob) != self.ref.digest:
            return ''
        outcome = read_root(blob)
        if outcome.is_err():
            return str(outcome.err())
        root = outcome.unwrap()
        if root.version != self.ref.version:
            return f'the root names version {root.version}'
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
        """Take a part if it is wanted.

        :param blob: the value.
        """
        digest = digest_of(blob)
        if digest in self._missing:
            self._missing.pop(digest)
            self._parts[digest] = blob

    def missing_digests(
        self, max_count: int = MAX_PARTS_PER_REQUEST
    ) -> tuple[str, ...]:
        """Return digests of missing parts, those of instances first.

        :param count: at most so many.
        """
        instance_digests = [
            digest
            for digest in self._instance_digests()
            if digest in self._missing
        ]
        rest = (
            digest for digest in self._missing if digest not in instance_digests
        )
        return (*instance_digests, *rest)[:max_count]

    def has_instances(self) -> bool:
        """Return whether all parts that hold instances are here."""
        digests = self._instance_digests()
        has_parts = all(digest in self._parts for digest in digests)
        return has_parts and self.root is not None

    def instances(self) -> tuple[Instance, ...]:
        """Return the instances that the version names.

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
        """Return a part held already.

        :param digest: its digest.
        """
        return self._parts.get(digest)

    def complete_bundle(self) -> Bundle | None:
        """Return the whole version, nothing while values are lacking."""
        if self.root is None or self._missing:
            return None
        return Bundle(self.ref, self.root, self.root_blob, self._parts)

    def _instance_digests(self) -> tuple[str, ...]:
        if self.root is None:
            return ()
        return self.root.parts.get(Section.INSTANCES, ())
