"""Authenticated typed messages between daemons of one fleet."""

import base64
import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from clementinedeal._errors import PeerAuthError
from clementinedeal._messages import message

MAC_BYTES = 16
FORWARD_HEADER = b'x-clementinedeal-forward'
OUTCOME_HEADER = b'x-clementinedeal-outcome'
INTERNAL_HEADER_PREFIX = b'x-clementinedeal-'


@message
@dataclass(frozen=True, slots=True)
class Forward:
    """Joined to a request that an entry sends to an owner.

    ``attempt`` identifies this attempt, ``incarnation`` the run of the
    owner it is meant for (empty: any), ``deadline_ms`` the time left,
    ``admitted`` whether the account's token was already taken.
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
    """Joined to the owner's answer.

    ``verdict`` and ``reason`` are the values of the enumerations; an empty
    reason marks the target's own answer. The owner spent ``spent`` seconds,
    ``target_seconds`` of them waiting for the target. ``load`` is the share
    of the target's slots in use, ``state`` its state at the owner.
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
    """Fleet keys: the first signs, all verify."""

    def __init__(self, keys: Mapping[str, bytes]) -> None:
        """Create a ring.

        :param keys: secrets by key id, the signing key first.
        """
        self.replace(keys)

    def replace(self, keys: Mapping[str, bytes]) -> None:
        """Use other keys from now on.

        :param keys: secrets by key id, the signing key first.
        """
        self._keys = dict(keys)
        self._signer = next(iter(self._keys))

    def seal(self, blob: bytes, context: bytes) -> bytes:
        """Prefix a blob with key id and authentication code.

        :param blob: what to authenticate.
        :param context: what it is bound to; not sent.
        """
        name = self._signer.encode()
        code = _authentication_code(self._keys[self._signer], blob, context)
        return bytes([len(name)]) + name + code + blob

    def open(self, sealed: bytes, context: bytes) -> bytes:
        """Return the blob of a sealed message.

        :param sealed: what ``seal`` returned.
        :param context: the same as given to ``seal``.
        :raises PeerAuthError: unknown key or wrong code.
        """
        size = sealed[0] if sealed else 0
        name = sealed[1 : 1 + size].decode('ascii', 'replace')
        code = sealed[1 + size : 1 + size + MAC_BYTES]
        blob = sealed[1 + size + MAC_BYTES :]
        key = self._keys.get(name)
        if key is None:
            raise PeerAuthError('unknown fleet key')
        if not hmac.compare_digest(
            code, _authentication_code(key, blob, context)
        ):
            raise PeerAuthError('wrong authentication code')
        return blob

    def seal_header(self, body: Any, context: bytes) -> bytes:
        """Encode and seal one message as a header value.

        :param body: a data class.
        :param context: what it is bound to.
        """
        return base64.urlsafe_b64encode(
            self.seal(msgspec.msgpack.encode(body), context),
        )

    def open_forward(self, text: bytes, context: bytes) -> Forward:
        """Decode and verify a ``Forward`` header value.

        :raises PeerAuthError: not sealed by a fleet key for this context.
        """
        return msgspec.msgpack.decode(
            self._open_header(text, context),
            type=Forward,
        )

    def open_outcome(self, text: bytes, context: bytes) -> Outcome:
        """Decode and verify an ``Outcome`` header value.

        :raises PeerAuthError: not sealed by a fleet key for this context.
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
