"""A proxy fleet for targets with gray failures.

A gray failure is a target that is up but slow, or fails part of its requests.
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from clementinedeal._daemon import Daemon
    from clementinedeal._declaration import check_file
    from clementinedeal._errors import (
        ClementinedealError,
        PeerAuthError,
        ProtocolError,
        SettingsError,
    )
    from clementinedeal._model import (
        Account,
        Config,
        Instance,
        Preset,
        PresetName,
        Route,
        Service,
        Target,
    )
    from clementinedeal._publication import Publication, pack
    from clementinedeal._settings import DaemonSettings, load_settings
    from clementinedeal._verdict import Reason, Verdict

# Public names are imported at first use. Importing all of them would delay a
# restarted daemon.
_MODULES = {
    'Daemon': '_daemon',
    'check_file': '_declaration',
    'ClementinedealError': '_errors',
    'PeerAuthError': '_errors',
    'ProtocolError': '_errors',
    'SettingsError': '_errors',
    'Account': '_model',
    'Config': '_model',
    'Instance': '_model',
    'Preset': '_model',
    'PresetName': '_model',
    'Route': '_model',
    'Service': '_model',
    'Target': '_model',
    'Publication': '_publication',
    'pack': '_publication',
    'DaemonSettings': '_settings',
    'load_settings': '_settings',
    'Reason': '_verdict',
    'Verdict': '_verdict',
}

__all__ = (
    'Account',
    'ClementinedealError',
    'Config',
    'Daemon',
    'DaemonSettings',
    'Instance',
    'PeerAuthError',
    'Preset',
    'PresetName',
    'ProtocolError',
    'Publication',
    'Reason',
    'Route',
    'Service',
    'SettingsError',
    'Target',
    'Verdict',
    'check_file',
    'load_settings',
    'pack',
)


def __getattr__(name: str) -> Any:
    """Import a public name at its first use."""
    if name not in _MODULES:
        raise AttributeError(f'module {__name__!r} has no {name!r}')
    module = importlib.import_module(f'{__name__}.{_MODULES[name]}')
    return getattr(module, name)
