"""Traffic of the demo: each account calls all services that it may call."""

from collections.abc import Iterable

from clementinedeal import Config, Route
from clementinedeal_bench._scenario import AccountLoad, RequestKind, Scenario

KEY_PREFIX = 'demo-'  # the key of an account in the examples: demo-ACCOUNT
BODY_BYTES = 200
IDEMPOTENT_ROUTE_WEIGHT = 4.0  # other routes have 1
TIMEOUT_MS = 5000  # stated by each request
SEED = 1


def build_scenario(
    cfg: Config,
    rates: dict[str, float],
    seconds: float,
    daemons: Iterable[str] = (),
) -> Scenario:
    """Return traffic to the routes that need a key, for given accounts.

    :param cfg: configuration with the routes and accounts.
    :param rates: requests per second, by account name.
    :param seconds: maximum duration.
    :param daemons: caller addresses (``ip:port``) to send to; those of all
        instances if empty.
    """
    all_addresses = tuple(
        instance.caller for instance in cfg.instances.values()
    )
    return Scenario(
        daemons=tuple(daemons) or all_addresses,
        accounts={
            name: _account_load(cfg, name, rate) for name, rate in rates.items()
        },
        seconds=seconds,
        seed=SEED,
    )


def spread_rate(cfg: Config, total: float) -> dict[str, float]:
    """Return requests per second by account, in proportion to rate limits.

    :param cfg: configuration with the routes and accounts.
    :param total: requests per second of all accounts together.
    """
    total_allowed = sum(account.rate for account in cfg.accounts.values())
    return {
        name: total * account.rate / total_allowed
        for name, account in cfg.accounts.items()
    }


def _account_load(cfg: Config, name: str, rate: float) -> AccountLoad:
    services = cfg.accounts[name].services
    return AccountLoad(
        key=f'{KEY_PREFIX}{name}',
        rate=rate,
        requests=tuple(
            _request_kind(route)
            for route in cfg.routes
            if route.service in services and not route.open
        ),
    )


def _request_kind(route: Route) -> RequestKind:
    method = 'GET' if route.method == '*' else route.method
    return RequestKind(
        service=route.service,
        method=method,
        path=f'{route.prefix.rstrip("/")}/1',
        weight=IDEMPOTENT_ROUTE_WEIGHT if route.idempotent else 1,
        body_bytes=0 if method == 'GET' else BODY_BYTES,
        timeout_ms=TIMEOUT_MS,
    )
