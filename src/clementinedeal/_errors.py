"""Exceptions of the library: one family with a single base."""

import msgspec

# What decoding foreign bytes raises; at some 1,000 nested levels msgspec ends
# with a RecursionError.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeDecodeError)


class ClementinedealError(Exception):
    """Base of every exception the library raises."""


class SettingsError(ClementinedealError):
    """A settings or declaration file is not acceptable."""

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
    """A message violates the protocol it was received on."""


class PeerAuthError(ProtocolError):
    """A peer message carries no valid authentication code."""
