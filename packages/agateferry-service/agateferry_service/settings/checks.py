"""Checks of the settings in a file against each other.

Each check takes settings whose single values are valid, and yields the problems that it finds.
"""

import ipaddress
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

from agateferry_service.settings.problems import Problem, shown_value
from agateferry_service.settings.settings import Settings

MAX_RECORDS_VOTERS = 7
HEARTBEATS_PER_ELECTION_TIMEOUT = 2
HEARTBEATS_PER_WORKER_SILENCE = 2

Check = Callable[[Settings, Path], Iterator[Problem]]


def _check_own_peer(settings: Settings, file: Path) -> Iterator[Problem]:
    host = settings.host
    own = [peer for peer in settings.peers if peer.name == host.name]
    if not own:
        names = ", ".join(peer.name for peer in settings.peers)
        yield Problem(
            file, "host.name", shown_value(host.name), f"needs an entry in [[peers]] ({names})"
        )
        return
    if own[0].zone != host.zone:
        allowed = f"must be {own[0].zone}, as this host's entry in [[peers]] says"
        yield Problem(file, "host.zone", shown_value(host.zone), allowed)
    if own[0].disk != (host.data_folder is not None):
        requirement = "needs a folder" if own[0].disk else "must be absent"
        allowed = (
            f"{requirement}: this host's entry in [[peers]] has disk = {str(own[0].disk).lower()}"
        )
        yield Problem(file, "host.data_folder", shown_value(host.data_folder), allowed)


def _check_peer_names(settings: Settings, file: Path) -> Iterator[Problem]:
    for name, count in Counter(peer.name for peer in settings.peers).items():
        if count > 1:
            yield Problem(
                file, "peers.name", shown_value(name), f"is used {count} times; needs one"
            )


def _check_unique_addresses(settings: Settings, file: Path) -> Iterator[Problem]:
    used: Counter[str] = Counter()
    for peer in settings.peers:
        used.update(str(address) for address in (peer.peers, peer.callers, peer.operators))
    for address, count in used.items():
        if count > 1:
            yield Problem(file, "peers", shown_value(address), f"is used {count} times; needs one")
    listen = settings.listen
    own = Counter(
        str(address)
        for address in (listen.callers, listen.operators, listen.endpoints, listen.peers)
    )
    for address, count in own.items():
        if count > 1:
            yield Problem(file, "listen", shown_value(address), f"is used {count} times; needs one")


def _check_peer_addresses(settings: Settings, file: Path) -> Iterator[Problem]:
    for peer in settings.peers:
        for key in ("peers", "callers", "operators"):
            address = getattr(peer, key)
            if ipaddress.ip_address(address.ip).is_unspecified:
                allowed = f"needs an IP address that other hosts can connect to, for {peer.name}"
                yield Problem(file, f"peers.{key}", shown_value(str(address)), allowed)


def _check_records_voters(settings: Settings, file: Path) -> Iterator[Problem]:
    count = len(settings.records_voters())
    if not 1 <= count <= MAX_RECORDS_VOTERS:
        allowed = f"needs true on 1 to {MAX_RECORDS_VOTERS} hosts, preferably an odd number"
        yield Problem(file, "peers.records_voter", f"true on {count}", allowed)


def _check_zone_disks(settings: Settings, file: Path) -> Iterator[Problem]:
    for zone in dict.fromkeys(peer.zone for peer in settings.peers):
        if not any(peer.disk for peer in settings.peers if peer.zone == zone):
            allowed = (
                f"needs true on at least one host of zone {zone}, else the zone stores no state"
            )
            yield Problem(file, "peers.disk", "false", allowed)


def _check_election_timeout(settings: Settings, file: Path) -> Iterator[Problem]:
    replication = settings.replication
    min_ms = HEARTBEATS_PER_ELECTION_TIMEOUT * replication.heartbeat_ms
    if replication.election_timeout_ms < min_ms:
        allowed = f"needs {min_ms} or more, {HEARTBEATS_PER_ELECTION_TIMEOUT} x heartbeat_ms"
        value = shown_value(replication.election_timeout_ms)
        yield Problem(file, "replication.election_timeout_ms", value, allowed)


def _check_worker_silence(settings: Settings, file: Path) -> Iterator[Problem]:
    timeouts = settings.timeouts
    min_ms = HEARTBEATS_PER_WORKER_SILENCE * timeouts.worker_heartbeat_ms
    if timeouts.worker_silence_ms < min_ms:
        allowed = f"needs {min_ms} or more, {HEARTBEATS_PER_WORKER_SILENCE} x worker_heartbeat_ms"
        value = shown_value(timeouts.worker_silence_ms)
        yield Problem(file, "timeouts.worker_silence_ms", value, allowed)


CHECKS: tuple[Check, ...] = (
    _check_own_peer,
    _check_peer_names,
    _check_unique_addresses,
    _check_peer_addresses,
    _check_records_voters,
    _check_zone_disks,
    _check_election_timeout,
    _check_worker_silence,
)


def check(settings: Settings, file: Path) -> list[Problem]:
    """Return the problems that all checks find."""
    return [problem for run_check in CHECKS for problem in run_check(settings, file)]
