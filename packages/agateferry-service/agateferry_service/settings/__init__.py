"""The settings file of agateferryd."""

from agateferry_service.address import Address
from agateferry_service.settings.problems import Problem, SettingsError
from agateferry_service.settings.reader import load_settings
from agateferry_service.settings.settings import (
    HostSettings,
    LimitSettings,
    ListenSettings,
    LogSettings,
    PeerSettings,
    RecordingSettings,
    ReplicationSettings,
    Settings,
    TimeoutSettings,
)

__all__ = [
    "Address",
    "HostSettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "PeerSettings",
    "Problem",
    "RecordingSettings",
    "ReplicationSettings",
    "Settings",
    "SettingsError",
    "TimeoutSettings",
    "load_settings",
]
