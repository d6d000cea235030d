"""Scenarios of the load caller, read from YAML."""

from pathlib import Path

import msgspec
import yaml
from result import Err, Ok, Result

from clementinedeal_bench._errors import BenchError


class RequestKind(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One kind of request of an account.

    :param service: name of the service, used in the call records only.
    :param path: path, with or without a query.
    :param method: HTTP method.
    :param weight: how often the kind is chosen, relative to the others.
    :param body_bytes: length of the body.
    :param idempotency_key: whether each request carries a new idempotency key.
    :param timeout_ms: timeout that the request states, in milliseconds.
    """

    service: str
    path: str
    method: str = 'GET'
    weight: float = 1.0
    body_bytes: int = 0
    idempotency_key: bool = False
    timeout_ms: int = 10_000


class AccountLoad(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Traffic of one client account; either ``rate`` or ``workers`` is set.

    :param requests: the kinds of request to choose from.
    :param key: API key; empty sends none.
    :param rate: requests per second at random times, independent of the
        answers (open loop).
    :param workers: number of senders that each send the next request after the
        answer to the one before (closed loop).
    """

    requests: tuple[RequestKind, ...]
    key: str = ''
    rate: float = 0.0
    workers: int = 0


class Scenario(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One run of the load caller.

    :param daemons: caller addresses of the daemons, ``ip:port``.
    :param accounts: traffic by account name.
    :param seconds: length of the run.
    :param seed: makes the random choices repeatable.
    """

    daemons: tuple[str, ...]
    accounts: dict[str, AccountLoad]
    seconds: float = 10.0
    seed: int = 0


def load_scenario(path: str) -> Result[Scenario, BenchError]:
    """Read and check a scenario.

    :param path: path of the YAML file.
    """
    try:
        raw = yaml.safe_load(Path(path).read_text(encoding='utf-8'))
        scenario = msgspec.convert(raw, Scenario)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as exc:
        reason = ' '.join(str(exc).split())
        return Err(BenchError(f'{path}: {reason}'))
    fault = find_fault(scenario)
    return Err(BenchError(f'{path}: {fault}')) if fault else Ok(scenario)


def find_fault(scenario: Scenario) -> str:
    """Return the first fault of a scenario, an empty text if it has none.

    :param scenario: the scenario.
    """
    if not scenario.daemons:
        return 'daemons: expected at least one address'
    for name, load in scenario.accounts.items():
        if (load.rate > 0) == (load.workers > 0):
            return f'accounts.{name}: expected either rate or workers above 0'
        if sum(kind.weight for kind in load.requests) <= 0:
            return (
                f'accounts.{name}.requests: expected a sum of weights above 0'
            )
    return ''
