"""The table of all settings: key, type, default, limits, unit and description of each.

The models that validate a file, the error texts and the tables of docs/settings.md come from it.
"""

from dataclasses import dataclass
from enum import StrEnum


class ValueType(StrEnum):
    """The type of a setting's value."""

    NAME = "name"
    ADDRESS = "address"
    PATH = "path"
    NUMBER = "number"
    FLAG = "flag"
    LEVEL = "level"


LEVELS = ("debug", "info", "warning", "error")
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
DAY_MS = 86_400_000


@dataclass(frozen=True, slots=True)
class Setting:
    """A setting; a required one has no default, and the default None means that it is absent."""

    section: str
    key: str
    value_type: ValueType
    description: str
    default: str | int | bool | None = None
    required: bool = False
    unit: str = ""
    min_value: int = 0
    max_value: int = 0

    def allowed(self) -> str:
        """Return the values that this setting allows, as a part of an error text."""
        match self.value_type:
            case ValueType.NAME:
                return "needs a name of 1 to 63 lowercase letters, digits and hyphens"
            case ValueType.ADDRESS:
                return "needs an IP address and a port, such as 127.0.0.1:7400"
            case ValueType.PATH:
                return "needs a path that is not empty"
            case ValueType.NUMBER:
                unit = f" ({self.unit})" if self.unit else ""
                return f"needs a whole number from {self.min_value} to {self.max_value}{unit}"
            case ValueType.FLAG:
                return "needs true or false"
            case ValueType.LEVEL:
                return f"needs one of {', '.join(LEVELS)}"


def _name(section: str, key: str, description: str) -> Setting:
    return Setting(section, key, ValueType.NAME, description, required=True)


def _address(section: str, key: str, description: str) -> Setting:
    return Setting(section, key, ValueType.ADDRESS, description, required=True)


def _path(section: str, key: str, description: str) -> Setting:
    return Setting(section, key, ValueType.PATH, description)


def _flag(section: str, key: str, default: bool, description: str) -> Setting:
    return Setting(section, key, ValueType.FLAG, description, default=default)


def _number(
    section: str,
    key: str,
    default: int,
    unit: str,
    min_value: int,
    max_value: int,
    description: str,
) -> Setting:
    return Setting(
        section, key, ValueType.NUMBER, description, default, False, unit, min_value, max_value
    )


def _limit(
    key: str, default: int, unit: str, min_value: int, max_value: int, description: str
) -> Setting:
    return _number("limits", key, default, unit, min_value, max_value, description)


def _timeout(key: str, default: int, min_value: int, max_value: int, description: str) -> Setting:
    return _number("timeouts", key, default, "ms", min_value, max_value, description)


SETTINGS = (
    _name("host", "name", "Name of this host, unique in the system."),
    _name("host", "zone", "Availability zone of this host."),
    _path(
        "host",
        "data_folder",
        "Folder of the host's stored state; absent on a host without a disk.",
    ),
    _address("listen", "callers", "Address of the port for callers."),
    _address("listen", "operators", "Address of the port for operators and the metrics collector."),
    _address("listen", "endpoints", "Address of the port for workers' heartbeats."),
    _address("listen", "peers", "Address of the port for other entry hosts."),
    _name("peers", "name", "Name of the entry host."),
    _name("peers", "zone", "Availability zone of the entry host."),
    _address("peers", "peers", "Address at which other hosts reach its `listen.peers`."),
    _address("peers", "callers", "Address at which other hosts reach its `listen.callers`."),
    _address("peers", "operators", "Address at which other hosts reach its `listen.operators`."),
    _flag("peers", "disk", True, "Whether the host stores its state on a disk."),
    _flag("peers", "records_voter", False, "Whether the host votes on operators' records."),
    _limit("max_body_bytes", 1_048_576, "bytes", 1_024, 67_108_864, "Largest request body."),
    _limit(
        "max_client_memory_mb",
        48,
        "MiB",
        8,
        65_536,
        "Memory held for the clients of all ports together: requests, and answers not yet read;"
        " at least eight times the largest body.",
    ),
    _limit(
        "max_payload_memory_mb",
        24,
        "MiB",
        1,
        65_536,
        "Payloads of a zone's open requests, which each of its hosts keeps; at least four times the"
        " largest body.",
    ),
    _limit(
        "max_connections_callers",
        2_000,
        "",
        1,
        65_536,
        "Maximum number of open connections of callers.",
    ),
    _limit(
        "max_connections_operators",
        100,
        "",
        1,
        65_536,
        "Maximum number of open connections of operators.",
    ),
    _limit(
        "max_connections_endpoints",
        1_000,
        "",
        1,
        65_536,
        "Maximum number of open connections of workers.",
    ),
    _limit(
        "request_head_timeout_ms",
        5_000,
        "ms",
        100,
        600_000,
        "Time limit for a client to send a request's head.",
    ),
    _limit(
        "request_body_timeout_ms",
        10_000,
        "ms",
        100,
        600_000,
        "Time limit for a client to send a request's body.",
    ),
    _limit(
        "max_wait_ms",
        60_000,
        "ms",
        0,
        600_000,
        "Maximum wait of `Prefer: wait`; a longer one is cut to it.",
    ),
    _limit(
        "max_announcements_per_s",
        5,
        "",
        1,
        10_000,
        "Maximum heartbeats per second to a zone's leader; with many workers, each sends fewer.",
    ),
    _limit(
        "retry_budget_percent",
        20,
        "percent",
        0,
        100,
        "Retried calls to workers per hundred first attempts.",
    ),
    _timeout(
        "worker_heartbeat_ms",
        2_000,
        100,
        60_000,
        "Interval of a worker's heartbeats; longer with many workers.",
    ),
    _timeout(
        "worker_silence_ms",
        7_000,
        300,
        600_000,
        "Time without a heartbeat after which a worker is lost.",
    ),
    _timeout(
        "reservation_ttl_ms",
        10_000,
        100,
        600_000,
        "Time after which a worker drops an unused reservation.",
    ),
    _timeout("rpc_ms", 2_000, 50, 60_000, "Timeout of a call to a peer."),
    _timeout(
        "endpoint_silence_ms",
        3_000,
        100,
        600_000,
        "Time without a reply from a worker before it is polled over a new connection.",
    ),
    _timeout(
        "retry_pause_ms",
        100,
        1,
        60_000,
        "Pause before the first retry; it doubles with each retry.",
    ),
    _timeout(
        "drain_notice_ms",
        1_500,
        0,
        DAY_MS,
        "Time for the load balancer to notice that a host stops.",
    ),
    _timeout(
        "drain_ms", 30_000, 0, DAY_MS, "Time limit of a graceful stop to finish requests in flight."
    ),
    _timeout(
        "answer_keep_ms",
        3_600_000,
        1_000,
        DAY_MS,
        "Time for which an ended request and its answer are kept.",
    ),
    _number(
        "replication", "heartbeat_ms", 250, "ms", 10, 60_000, "Interval of a leader's heartbeats."
    ),
    _number(
        "replication",
        "election_timeout_ms",
        1_000,
        "ms",
        50,
        600_000,
        "Time without a leader's heartbeat after which an election starts.",
    ),
    _number(
        "replication",
        "snapshot_entries",
        5_000,
        "entries",
        10,
        1_000_000,
        "Log entries from one snapshot to the next.",
    ),
    Setting(
        "log", "level", ValueType.LEVEL, "Lowest level of the log lines that are written.", "info"
    ),
    _flag("log", "as_json", True, "Whether log lines are JSON; otherwise they are plain text."),
    _path("recording", "trace_file", "File for the trace of scheduler events; absent: off."),
)

SECTIONS = tuple(dict.fromkeys(setting.section for setting in SETTINGS))

RENAMED_KEYS = {
    ("host", "availability_zone"): "zone",
    ("host", "data_dir"): "data_folder",
    ("limits", "max_body"): "max_body_bytes",
    ("timeouts", "drain"): "drain_ms",
}


def keys_of(section: str) -> tuple[str, ...]:
    """Return the keys of a section in the order of the table."""
    return tuple(setting.key for setting in SETTINGS if setting.section == section)


def find_setting(section: str, key: str) -> Setting | None:
    """Return the setting of a section and key, or None if there is none."""
    return next((s for s in SETTINGS if (s.section, s.key) == (section, key)), None)
