"""Answers the requests of peers for the values of a version."""

from clementinedeal._acceptance import Acceptance
from clementinedeal._messages import Send
from clementinedeal._version_sync import VersionSync
from clementinedeal._view_messages import (
    PartsAnswer,
    PartsRequest,
    RootAnswer,
    RootRequest,
)

MAX_ANSWER_BYTES = 256_000  # no part is added once an answer has this size


class PartAnswers:
    """Serves the values that this daemon holds.

    Parts of a version that is still being pulled are served too.
    """

    def __init__(
        self, acceptance: Acceptance, version_sync: VersionSync
    ) -> None:
        """Create an object that answers requests.

        :param acceptance: holds the complete versions.
        :param version_sync: holds the version being pulled.
        """
        self._acceptance = acceptance
        self._version_sync = version_sync

    def on_root_request(
        self,
        sender: str,
        body: RootRequest,
        now: float,
    ) -> list[Send]:
        """Answer a request for a root, without a root if it is not held.

        :param sender: name of the peer.
        :param body: its request.
        :param now: monotonic seconds; not used.
        """
        root_blob = None
        for bundle in self._acceptance.bundles():
            if bundle.ref == body.ref:
                root_blob = bundle.root_blob
        return [Send(sender, RootAnswer(body.nonce, root_blob))]

    def on_parts_request(
        self,
        sender: str,
        body: PartsRequest,
        now: float,
    ) -> list[Send]:
        """Answer a request for parts.

        Parts beyond ``MAX_ANSWER_BYTES`` are left out; the peer asks for them
        again.

        :param sender: name of the peer.
        :param body: its request.
        :param now: monotonic seconds; not used.
        """
        known = self._acceptance.parts()
        blobs: list[bytes] = []
        size = 0
        for digest in body.digests:
            blob = known.get(digest) or self._version_sync.find_part(digest)
            if blob is not None and size < MAX_ANSWER_BYTES:
                blobs.append(blob)
                size += len(blob)
        return [Send(sender, PartsAnswer(body.nonce, tuple(blobs)))]
