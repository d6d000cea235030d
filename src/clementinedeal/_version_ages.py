"""For how long versions are known to have been published."""

from clementinedeal._view_messages import VersionRef


class VersionAges:
    """Remembers the newest versions and since when, at least, they exist."""

    def __init__(self) -> None:
        """Know of no version."""
        self._published_since: dict[VersionRef, float] = {}

    def note_published(self, ref: VersionRef, since: float) -> None:
        """Note that a version was published at a time or before.

        :param ref: the version.
        :param since: monotonic time in seconds.
        """
        newest = max(
            (known.version for known in self._published_since), default=0
        )
        if ref.version < newest:
            return
        known = self._published_since.get(ref, since)
        if ref.version > newest:
            self._published_since.clear()
        self._published_since[ref] = min(known, since)

    def age_seconds(self, ref: VersionRef | None, now: float) -> float:
        """Return for how long a version has been published, at least.

        :param ref: the version, None for none.
        :param now: monotonic time in seconds.
        """
        since = self._published_since.get(ref, now) if ref else now
        return now - since
