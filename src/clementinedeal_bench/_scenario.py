"""Settings of the load caller, read from YAML."""

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
    """One kind of request; ``weight`` is its share of an account's traffic.

    ``body_bytes`` of body are sent, ``timeout_ms`` is the caller's patience
    and, with ``idempotency_key``, each request carries a fresh key.
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
    """Traffic of one client account.

    Either ``rate`` requests a second arrive at random (open loop), or each
    of ``workers`` sends its next request after an answer (closed loop).
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
    """A whole run; ``daemons`` are caller addresses (``ip:port``)."""

    daemons: tuple[str, ...]
    accounts: dict[str, AccountLoad]
    seconds: float = 10.0
    seed: int = 0


def load_scenario(path: str) -> Result[Scenario, BenchError]:
    """Read and check a scenario.

    :param path: the YAML file.
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
    """Return what is wrong with a scenario, empty if nothing is.

    :param scenario: the scenario.
    """
    if not scenario.daemons:
        return 'daemons: at least one address is needed'
    for name, load in scenario.accounts.items():
        if (load.rate > 0) == (load.workers > 0):
            return f'accounts.{name}: give either rate or workers, above 0'
        if sum(kind.weight for kind in load.requests) <= 0:
            return f'accounts.{name}.requests: weights must add up to above 0'
    return ''
