"""The log events of the state package."""

from agateferry_core.logs import Event

STORAGE_FAILED = Event(
    2001,
    "the data folder refused a write",
    "Free space or replace the disk, then restart the daemon; it takes no part until then.",
)
DATA_FOLDER_UNUSABLE = Event(
    2002,
    "the data folder cannot be opened",
    "For lost-disk, move the folder away and restart, so that the host joins as a new member; "
    "for locked, stop the other daemon first.",
)
DATA_FOLDER_OPENED = Event(2003, "the data folder was opened", "Nothing to do.")
TORN_BATCH_CUT = Event(
    2004, "a batch that a crash cut short was dropped", "Nothing to do; nobody was told of it."
)
PEER_CONNECTION_LOST = Event(
    2005,
    "the connection to another host was lost",
    "Check that the host runs and that the network lets both through; it is retried meanwhile.",
)
PEER_CONNECTED = Event(2006, "messages reach another host again", "Nothing to do.")
ENVELOPE_REFUSED = Event(
    2007,
    "a message from another host was not understood",
    "Run the same release on both hosts.",
)
LEADER_CHANGED = Event(
    2008,
    "another member leads",
    "Nothing to do; without a leader for longer, look at the hosts of the group.",
)
MEMBERS_CHANGED = Event(2009, "the members of the group changed", "Nothing to do.")
DATAGRAMS_UNUSED = Event(
    2010,
    "the UDP port for heartbeats cannot be bound",
    "Free the UDP port of the same number as the peers' port; until then streams carry all.",
)
INVARIANT_BROKEN = Event(
    2011,
    "this replica found a contradiction and takes no part any more",
    "Keep the data folder and the log, report both, and restart the daemon.",
)
