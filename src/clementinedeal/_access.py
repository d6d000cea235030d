"""Matches requests to routes and API keys to client accounts."""

import hashlib
from dataclasses import dataclass

from result import Err, Ok, Result

from clementinedeal._http import RequestHead
from clementinedeal._model import Account, Config, Route
from clementinedeal._verdict import Reason

ANY_METHOD = '*'
_BEARER = b'bearer '
_AUTHORIZATION = b'authorization'


@dataclass(frozen=True, slots=True)
class Granted:
    """A request that may proceed; ``account`` is None on an open route."""

    route: Route
    account: Account | None


class Access:
    """Looks up routes by method and path, and accounts by key digest.

    The index is built once for each version of the configuration.
    """

    def __init__(self, cfg: Config) -> None:
        """Build the index.

        :param cfg: the configuration to index.
        """
        self.cfg = cfg
        self._accounts = {
            digest: account
            for account in cfg.accounts.values()
            for digest in account.key_digests
        }
        self._routes = {
            (route.method, route.prefix): route for route in cfg.routes
        }
        self._prefix_lengths = sorted(
            {len(route.prefix) for route in cfg.routes},
            reverse=True,
        )

    def check(
        self,
        head: RequestHead,
        *,
        is_fresh: bool,
    ) -> Result[Granted, Reason]:
        """Return the route and account of a request, or why it is refused.

        :param head: the request's head, as received from the caller.
        :param is_fresh: whether the configuration is known to be current.
            Without that, keyed routes are refused, because the key may have
            been withdrawn since.
        """
        route = self.find_route(head.method, head.path)
        if route is None:
            return Err(Reason.NO_ROUTE)
        if route.open:
            return Ok(Granted(route, None))
        key = bearer_key(head)
        if key is None:
            return Err(Reason.KEY_MISSING)
        if not is_fresh:
            return Err(Reason.CONFIG_STALE)
        return self._check_key(route, key)

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None without one.

        :param method: upper-case HTTP method.
        :param path: path of the request, with or without a query.
        """
        path = path.partition('?')[0]
        for length in self._prefix_lengths:
            if length <= len(path):
                route = self._find_exact(method, path[:length])
                if route is not None:
                    return route
        return None

    def _find_exact(self, method: str, prefix: str) -> Route | None:
        exact = self._routes.get((method, prefix))
        return exact or self._routes.get((ANY_METHOD, prefix))

    def _check_key(self, route: Route, key: bytes) -> Result[Granted, Reason]:
        account = self._accounts.get(key_digest(key))
        if account is None:
            return Err(Reason.KEY_UNKNOWN)
        if route.service not in account.services:
            return Err(Reason.SERVICE_FORBIDDEN)
        return Ok(Granted(route, account))


def bearer_key(head: RequestHead) -> bytes | None:
    """Return the key of an ``Authorization: Bearer`` header, None without one.

    :param head: the request's head, as received.
    """
    text = head.header(_AUTHORIZATION)
    if text is None or text[: len(_BEARER)].lower() != _BEARER:
        return None
    return text[len(_BEARER) :].strip() or None


def key_digest(key: bytes) -> str:
    """Return the form in which the configuration holds a key: hex SHA-256.

    :param key: the key, as sent by the caller.
    """
    return hashlib.sha256(key).hexdigest()
