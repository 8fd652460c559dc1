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
