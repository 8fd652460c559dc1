"""The trace file of scheduler events, for later replay."""

from pathlib import Path

from agateferry_scheduling.scheduler.messages import SchedulerEvent
from agateferry_scheduling.traces.recorder import Recorder


class TraceFile:
    """Append the input events of this host's scheduler to a file, if the settings name one.

    Events are recorded while the host leads its zone. `agateferry replay` replays the file.
    """

    def __init__(self, path: Path | None) -> None:
        """Open the file; raise OSError if that fails."""
        self._file = path.open("a", encoding="utf-8", buffering=1) if path else None
        self._recorder = Recorder(self._write)

    def record(self, event: SchedulerEvent, now_ms: int) -> None:
        """Record one event, if a trace file is set."""
        if self._file is not None:
            self._recorder.record(event, now_ms)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _write(self, line: str) -> None:
        if self._file is not None:
            self._file.write(line + "\n")
