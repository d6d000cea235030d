"""Exceptions of the library, with a common base class."""

import msgspec

# Raised by decoding untrusted bytes. msgspec raises RecursionError if they
# nest about 1,000 levels deep.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeDecodeError)


class ClementinedealError(Exception):
    """Base class of all exceptions that the library raises."""


class SettingsError(ClementinedealError):
    """A settings or declaration file is invalid."""

    def __init__(self, *, file: str, path: str, reason: str) -> None:
        """Describe one rejected entry.

        :param file: name of the rejected file.
        :param path: dotted path of the entry inside the file.
        :param reason: what is wrong with it, in one line.
        """
        super().__init__(f'{file}: {path}: {reason}')
        self.file = file
        self.path = path
        self.reason = reason


class ProtocolError(ClementinedealError):
    """A received message violates its protocol."""


class PeerAuthError(ProtocolError):
    """A message from a peer has no valid authentication code."""
