"""Adapters to the users' platform: its names, formats and calls."""

from clementinedeal.platform._dialect import PlatformDialect
from clementinedeal.platform._node import load_node, node_path
from clementinedeal.platform._store import PlatformStore

__all__ = ('PlatformDialect', 'PlatformStore', 'load_node', 'node_path')
