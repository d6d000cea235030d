"""Authenticates the messages between the daemons of one fleet."""

import base64
import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from clementinedeal._errors import PeerAuthError
from clementinedeal._messages import message

MAC_BYTES = 16  # length of an authentication code
FORWARD_HEADER = b'x-clementinedeal-forward'
OUTCOME_HEADER = b'x-clementinedeal-outcome'
INTERNAL_HEADER_PREFIX = b'x-clementinedeal-'


@message
@dataclass(frozen=True, slots=True)
class Forward:
    """Header of a request that an entry sends to an owner.

    ``attempt`` identifies the attempt and ``req_id`` the caller's request,
    ``sender`` is the entry's instance. ``incarnation`` is the run of the
    owner that may accept it (empty: any), ``deadline_ms`` the remaining time
    of the request in milliseconds. ``admitted`` is true if a token of the
    account was already taken; ``hlc`` is the sender's stamp of its hybrid
    logical clock.
    """

    attempt: str
    req_id: str
    sender: str
    target: str
    incarnation: str
    account: str
    deadline_ms: int
    idempotent: bool
    admitted: bool
    hlc: int


@message
@dataclass(frozen=True, slots=True)
class Outcome:
    """Header of the owner's answer.

    ``verdict`` and ``reason`` are values of the enumerations; an empty reason
    marks an answer of the target. ``retry_after`` is in seconds. ``admitted``
    is true if a token of the account was taken, ``incarnation`` is the run of
    the owner. The owner spent ``spent`` seconds on the request,
    ``target_seconds`` of them waiting for the target. ``load`` is the target's
    load in requests per slot, ``state`` its state at the owner; ``hlc`` is the
    owner's stamp of its hybrid logical clock.
    """

    verdict: str
    reason: str
    retry_after: float
    admitted: bool
    incarnation: str
    load: float
    state: str
    spent: float
    target_seconds: float
    hlc: int


class Keyring:
    """The fleet keys; the first one seals messages, any of them opens one.

    A sealed message is the length of the key id, the key id, the
    authentication code and the content. The content is not encrypted.
    """

    def __init__(self, keys: Mapping[str, bytes]) -> None:
        """Create a keyring.

        :param keys: secrets by key id; the first one seals messages.
        """
        self.replace(keys)

    def replace(self, keys: Mapping[str, bytes]) -> None:
        """Replace all keys.

        :param keys: secrets by key id; the first one seals messages.
        """
        self._keys = dict(keys)
        self._signing_key_id = next(iter(self._keys))

    def seal(self, blob: bytes, context: bytes) -> bytes:
        """Prefix a blob with key id and authentication code.

        :param blob: content to authenticate.
        :param context: must be the same when the message is opened; not sent.
        """
        key_id = self._signing_key_id.encode()
        code = _authentication_code(
            self._keys[self._signing_key_id], blob, context
        )
        return bytes([len(key_id)]) + key_id + code + blob

    def open(self, sealed: bytes, context: bytes) -> bytes:
        """Verify a sealed message and return its content.

        :param sealed: result of ``seal``.
        :param context: the context that was given to ``seal``.
        :raises PeerAuthError: unknown key or wrong code.
        """
        key_id_length = sealed[0] if sealed else 0
        key_id = sealed[1 : 1 + key_id_length].decode('ascii', 'replace')
        code = sealed[1 + key_id_length : 1 + key_id_length + MAC_BYTES]
        blob = sealed[1 + key_id_length + MAC_BYTES :]
        key = self._keys.get(key_id)
        if key is None:
            raise PeerAuthError('unknown fleet key')
        if not hmac.compare_digest(
            code, _authentication_code(key, blob, context)
        ):
            raise PeerAuthError('wrong authentication code')
        return blob

    def seal_header(self, body: Any, context: bytes) -> bytes:
        """Encode and seal one message as a header value.

        :param body: the message, a data class.
        :param context: must be the same when the header is opened; not sent.
        """
        return base64.urlsafe_b64encode(
            self.seal(msgspec.msgpack.encode(body), context),
        )

    def open_forward(self, text: bytes, context: bytes) -> Forward:
        """Verify and decode a ``Forward`` header value.

        :param text: value of the header.
        :param context: the context that was given to ``seal_header``.
        :raises PeerAuthError: not sealed by a fleet key for this context.
        :raises msgspec.MsgspecError: the content is malformed.
        """
        return msgspec.msgpack.decode(
            self._open_header(text, context),
            type=Forward,
        )

    def open_outcome(self, text: bytes, context: bytes) -> Outcome:
        """Verify and decode an ``Outcome`` header value.

        :param text: value of the header.
        :param context: the context that was given to ``seal_header``.
        :raises PeerAuthError: not sealed by a fleet key for this context.
        :raises msgspec.MsgspecError: the content is malformed.
        """
        return msgspec.msgpack.decode(
            self._open_header(text, context),
            type=Outcome,
        )

    def _open_header(self, text: bytes, context: bytes) -> bytes:
        try:
            sealed = base64.urlsafe_b64decode(text)
        except ValueError as exc:
            raise PeerAuthError('malformed envelope') from exc
        return self.open(sealed, context)


def _authentication_code(key: bytes, blob: bytes, context: bytes) -> bytes:
    mac = hashlib.blake2b(context, digest_size=MAC_BYTES, key=key)
    mac.update(b'\0')
    mac.update(blob)
    return mac.digest()
