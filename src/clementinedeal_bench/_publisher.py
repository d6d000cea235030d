"""Publishes configurations to the platform stand-in."""

import msgspec
from result import Err

from clementinedeal import Config
from clementinedeal._publication import ROOT_NAME, pack
from clementinedeal_bench._errors import BenchError
from clementinedeal_bench._platform_server import (
    InstanceListBody,
    ListedInstance,
)
from clementinedeal_bench._web_client import WebClient
from clementinedeal_bench._web_messages import WebAnswer, WebRequest

LIVE = 'live'
OK_STATUS = 200


class Publisher:
    """Publishes configurations and the instance list.

    A configuration consists of a root and of parts; a part that is already
    published is not sent again.
    """

    def __init__(self, address: str) -> None:
        """Create a publisher.

        :param address: ``ip:port`` of the platform stand-in.
        """
        self.address = address
        self._client = WebClient(address)
        self._published_parts: set[str] = set()

    async def publish(self, cfg: Config) -> int:
        """Publish a configuration and return the number of bytes sent.

        :param cfg: a valid configuration.
        :raises BenchError: the platform can't be reached or refuses a value.
        """
        packed = pack(cfg)
        if isinstance(packed, Err):
            raise packed.err_value
        published_bytes = 0
        for name, blob in packed.ok_value.values():
            if name not in self._published_parts:
                await self._put(f'values/{name}', blob)
                published_bytes += len(blob)
            if name != ROOT_NAME:
                self._published_parts.add(name)
        return published_bytes

    async def publish_instance_list(self, states: dict[str, str]) -> None:
        """Publish the list of instances.

        :param states: ``live`` or ``leaving`` by instance name.
        :raises BenchError: the platform can't be reached or refuses the list.
        """
        listed = InstanceListBody(
            tuple(ListedInstance(*entry) for entry in sorted(states.items())),
        )
        await self._put('instances', msgspec.json.encode(listed))

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    async def _put(self, path: str, body: bytes) -> WebAnswer:
        req = WebRequest(method='PUT', target=f'/operator/{path}', body=body)
        result = await self._client.request(req)
        if isinstance(result, Err):
            where = f'platform {self._client.address}'
            raise BenchError(f'{where}: {result.err_value.detail}')
        if result.ok_value.status != OK_STATUS:
            status = result.ok_value.status
            raise BenchError(
                f'platform refused {path}: status {status}, '
                f'expected {OK_STATUS}'
            )
        return result.ok_value
