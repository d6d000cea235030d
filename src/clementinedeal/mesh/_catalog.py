"""Looks up routes and client accounts in one declaration."""

import collections

from result import Err, Ok, Result

from clementinedeal._verdict import Reason
from clementinedeal.mesh._declaration_changes import compute_fingerprint
from clementinedeal.mesh._types import ClientAccount, Declaration, RouteRule


class Catalog:
    """A declaration with indexes by host and API key.

    ``declaration`` is the whole version; ``routes_by_name`` and
    ``accounts_by_name`` map the names of routes and accounts to them.
    """

    def __init__(
        self, declaration: Declaration, fingerprint: int | None = None
    ) -> None:
        """Index a declaration.

        :param declaration: a whole version.
        :param fingerprint: identifies its content; computed if not given.
        """
        self.declaration = declaration
        self._fingerprint = fingerprint
        self._routes_by_host: dict[str, list[RouteRule]] = (
            collections.defaultdict(list)
        )
        for route in declaration.routes:
            self._routes_by_host[route.host.lower()].append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=_prefix_length, reverse=True)
        self._accounts_by_key = {
            key: account
            for account in declaration.accounts
            for key in account.keys
        }
        self.routes_by_name = {one.name: one for one in declaration.routes}
        self.accounts_by_name = {one.name: one for one in declaration.accounts}

    @property
    def fingerprint(self) -> int:
        """Identifies the content of the declaration."""
        if self._fingerprint is None:
            self._fingerprint = compute_fingerprint(self.declaration)
        return self._fingerprint

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix that matches the path.

        :param host: the host named by the request, with or without a port.
        :param path: the path, with or without a query.
        """
        host_name = host.partition(':')[0].strip().lower()
        bare_path = path.partition('?')[0]
        for route in self._routes_by_host.get(host_name, ()):
            if bare_path.startswith(route.prefix):
                return route
        return None

    def find_account(
        self,
        route: RouteRule,
        key: str | None,
    ) -> Result[ClientAccount | None, Reason]:
        """Return the account of a request.

        :param route: the request's route.
        :param key: the API key of the request, None if it has none.
        :return: None on public routes, or if no accounts are declared; an
            error if the key is missing or unknown.
        """
        if route.public or not self.accounts_by_name:
            return Ok(None)
        if key is None:
            return Err(Reason.KEY_MISSING)
        account = self._accounts_by_key.get(key)
        return Err(Reason.KEY_UNKNOWN) if account is None else Ok(account)


def _prefix_length(route: RouteRule) -> int:
    return len(route.prefix)
