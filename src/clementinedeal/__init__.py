"""A proxy fleet for targets with gray failures."""

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
from clementinedeal._verdict import Reason, Verdict

__all__ = (
    'Account',
    'ClementinedealError',
    'Config',
    'Instance',
    'PeerAuthError',
    'Preset',
    'PresetName',
    'ProtocolError',
    'Reason',
    'Route',
    'Service',
    'SettingsError',
    'Target',
    'Verdict',
)
