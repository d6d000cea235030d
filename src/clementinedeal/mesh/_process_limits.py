"""How a process divides its memory and descriptors."""

from dataclasses import dataclass, replace

from clementinedeal._http import READ_BYTES, HttpLimits
from clementinedeal.mesh._types import RequestLimits

# Memory of the process without clients.
BASE_BYTES = 48_000_000
# Part of the rest for bodies. What remains is for connections, for what their
# sockets have received, and for memory that is freed in pieces.
BODY_SHARE = 2 / 3
CONNECTION_SHARE = 0.2
# Memory of a connection with a head and data that was read ahead.
CONNECTION_BYTES = 49_152
# Descriptors kept for files, and the part of the others for callers; the
# targets, the other daemons and the store have the rest.
FILE_DESCRIPTORS = 200
CALLER_SHARE = 0.5
MIN_CONNECTIONS = 16


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits of one process; ``memory_bytes`` includes all that it uses."""

    memory_bytes: int
    descriptors: int

    @property
    def body_bytes(self) -> int:
        """Largest sum of the bodies that are held at a time."""
        return max(0, int((self.memory_bytes - BASE_BYTES) * BODY_SHARE))

    @property
    def caller_connections(self) -> int:
        """Largest number of open connections of callers."""
        memory = (self.memory_bytes - BASE_BYTES) * CONNECTION_SHARE
        sockets = (self.descriptors - FILE_DESCRIPTORS) * CALLER_SHARE
        return max(
            MIN_CONNECTIONS, int(min(memory / CONNECTION_BYTES, sockets))
        )

    @staticmethod
    def for_callers(declared: RequestLimits) -> HttpLimits:
        """Return the limits on what callers may send.

        :param declared: those of the declaration in force.
        """
        return HttpLimits(
            max_head_bytes=declared.head_bytes,
            head_timeout=declared.head_timeout,
            idle_timeout=declared.idle_timeout,
        )

    @staticmethod
    def for_peers(declared: RequestLimits) -> HttpLimits:
        """Return the limits on what other daemons may send.

        They may apply a declaration with a larger limit on bodies.

        :param declared: those of the declaration in force.
        """
        limits = HttpLimits()
        body_bytes = max(
            limits.max_body_bytes, declared.body_bytes + READ_BYTES
        )
        return replace(limits, max_body_bytes=body_bytes)
