"""The durable state of one replica: its log, vote, snapshot and the data folder's incarnation."""

from agateferry_state.journal.files import Files, OsFiles
from agateferry_state.journal.journal import Journal, JournalSettings
from agateferry_state.journal.messages import (
    JournalError,
    JournalErrorKind,
    Record,
    Recovered,
    Snapshot,
    Vote,
)

__all__ = [
    "Files",
    "Journal",
    "JournalError",
    "JournalErrorKind",
    "JournalSettings",
    "OsFiles",
    "Record",
    "Recovered",
    "Snapshot",
    "Vote",
]
