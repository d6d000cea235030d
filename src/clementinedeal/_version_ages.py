"""Minimum ages of published versions."""

from clementinedeal._view_messages import VersionRef


class VersionAges:
    """Remembers since when the newest version is known to be published.

    If the highest number was published with several contents, all of them are
    held.
    """

    def __init__(self) -> None:
        """Start without versions."""
        self._published_since: dict[VersionRef, float] = {}

    def note_published(self, ref: VersionRef, since: float) -> None:
        """Note that a version was published at a given time or before.

        :param ref: number and digest of the version.
        :param since: monotonic seconds.
        """
        newest = max(
            (held.version for held in self._published_since), default=0
        )
        if ref.version < newest:
            return
        known_since = self._published_since.get(ref, since)
        if ref.version > newest:
            self._published_since.clear()
        self._published_since[ref] = min(known_since, since)

    def age_seconds(self, ref: VersionRef | None, now: float) -> float:
        """Return the seconds for which a version has been published, at least.

        :param ref: number and digest of the version. The age of None and of
            an unknown version is 0.
        :param now: monotonic seconds.
        """
        since = self._published_since.get(ref, now) if ref else now
        return now - since
