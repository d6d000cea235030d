"""A proxy fleet for targets with gray failures."""

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
