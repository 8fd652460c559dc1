"""The log events of the state package."""

from agateferry_core.logs import Event

STORAGE_FAILED = Event(
    2001,
    "writing to the data folder failed",
    "Free space or replace the disk, then restart the daemon; the replica is out of service "
    "until then.",
)
DATA_FOLDER_UNUSABLE = Event(
    2002,
    "data folder cannot be opened",
    "For lost-disk, move the folder away and restart, so that the host joins as a new member; "
    "for locked, stop the other daemon first.",
)
DATA_FOLDER_OPENED = Event(
    2003, "data folder opened", "Nothing to do; logged once for each group at each start."
)
TORN_BATCH_DROPPED = Event(
    2004,
    "incomplete batch at the end of the log dropped",
    "Nothing to do; a crash interrupted the write before any of it was acknowledged.",
)
PEER_CONNECTION_LOST = Event(
    2005,
    "connection to another host lost",
    "Check that the host is running and that the network passes TCP between both; the daemon "
    "reconnects by itself.",
)
PEER_CONNECTED = Event(
    2006,
    "connection to another host restored",
    "Nothing to do; if it is often lost, check the network.",
)
ENVELOPE_REFUSED = Event(
    2007,
    "message from another host has an unknown type or field",
    "Run the same release on both hosts.",
)
LEADER_CHANGED = Event(
    2008,
    "leader of the group changed",
    "Nothing to do; if no leader follows within seconds, check the hosts of the group.",
)
MEMBERS_CHANGED = Event(
    2009,
    "members of the group changed",
    "Nothing to do if a host joined, left or was replaced; else check the hosts.",
)
DATAGRAMS_UNAVAILABLE = Event(
    2010,
    "UDP port for heartbeats cannot be bound",
    "Free the UDP port with the number of the peers' port and restart the daemon; until then all "
    "messages use streams.",
)
INVARIANT_BROKEN = Event(
    2011,
    "replica stopped by a broken invariant",
    "Keep the data folder and the log, report both, and restart the daemon.",
)
PEER_LINK_FAILED = Event(
    2012,
    "unexpected error in a connection to another host",
    "Report the detail as a bug; the daemon reconnects by itself.",
)
