"""The store of versioned records; its state depends only on the puts applied to it.

Each record has versions 1, 2, 3 and so on. Each accepted version of any record gets the next
revision number, from one counter that only increases. A put names the version that it replaces, so
that if two operators replace the same version, one succeeds and the other gets the current version
back. For example, two puts with `replaces=0` and different contents return `Accepted` and then
`Conflict`.
"""

import hashlib
from collections.abc import Iterable

from agateferry_state.records import codec
from agateferry_state.records.checks import canonical_json, name_problems, read_content
from agateferry_state.records.messages import (
    Accepted,
    Conflict,
    ContentProblem,
    Invalid,
    PutOutcome,
    RecordPut,
    Revision,
)
from agateferry_state.records.record_types import Kind

MAX_RECORDS = 10_000
MAX_KEPT_VERSIONS = 32
BATCH_REVISIONS = 200

Key = tuple[Kind, str]


class RecordStore:
    """Store every record with its last `MAX_KEPT_VERSIONS` versions.

    The records plane changes its store with `put`. The cell of a zone changes its own with `adopt`,
    which takes revisions copied from the records plane. Each revision is encoded once, when it is
    added, so that a snapshot of many revisions does not block the event loop.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._versions: dict[Key, list[Revision]] = {}
        self._lines: dict[int, bytes] = {}

    @property
    def revision(self) -> int:
        """Return the number of the newest revision, which never decreases; 0 if there is none."""
        return self._revision

    def put(self, put: RecordPut) -> PutOutcome:
        """Store a new version, or return why not; a resent put gets its first outcome again.

        A put counts as resent while the version that it created is kept.
        """
        digest = put_digest(put)
        existing = self._find_version(put.kind, put.name, put.replaces + 1)
        if existing is not None and existing.digest == digest:
            return Accepted(existing)
        current = self.get(put.kind, put.name)
        if put.replaces != (current.version if current else 0):
            return Conflict(current)
        if current is None and (problems := self._new_name_problems(put)):
            return Invalid(tuple(problems))
        return self._accept(put, current, digest)

    def get(self, kind: Kind, name: str) -> Revision | None:
        """Return the current revision of a record, or None."""
        versions = self._versions.get((kind, name))
        return versions[-1] if versions else None

    def current_revisions(self, kind: Kind) -> tuple[Revision, ...]:
        """Return the current revision of each record of a kind, sorted by name."""
        current = (versions[-1] for key, versions in self._versions.items() if key[0] is kind)
        return tuple(sorted(current, key=lambda revision: revision.name))

    def history(self, kind: Kind, name: str) -> tuple[Revision, ...]:
        """Return the kept versions of a record, oldest first."""
        return tuple(self._versions.get((kind, name), ()))

    def since(self, revision: int, limit: int = BATCH_REVISIONS) -> tuple[Revision, ...]:
        """Return the oldest `limit` kept revisions after `revision`, sorted by number.

        A store that adopts them and repeats the call with its new revision until nothing is
        returned has the same current revisions as this one.
        """
        if revision >= self._revision:
            return ()
        newer = (one for kept in self._versions.values() for one in _newer(kept, revision))
        return tuple(sorted(newer, key=lambda one: one.number)[:limit])

    def adopt(self, revisions: Iterable[Revision]) -> tuple[Revision, ...]:
        """Add revisions that the records plane accepted, and return those that were new.

        Revisions whose numbers are not above the store's own newest one are ignored.
        """
        added = []
        for revision in sorted(revisions, key=lambda each: each.number):
            if revision.number > self._revision:
                self._append(revision, codec.encode_revision(revision))
                added.append(revision)
        return tuple(added)

    def snapshot(self) -> bytes:
        """Return the whole store, encoded for `restore`."""
        return codec.encode_store(self._revision, self._lines.values())

    def restore(self, data: bytes) -> None:
        """Replace the whole store by a snapshot; raise ValueError if it is older than the store."""
        revision, lines = codec.decode_store(data)
        if revision < self._revision:
            raise ValueError(f"a snapshot of revision {revision} is older than {self._revision}")
        self._versions = {}
        self._lines = {}
        for line in lines:
            self._append(codec.decode_revision(line), line)
        self._revision = revision

    def _find_version(self, kind: Kind, name: str, version: int) -> Revision | None:
        versions = self._versions.get((kind, name), ())
        return next((one for one in versions if one.version == version), None)

    def _new_name_problems(self, put: RecordPut) -> list[ContentProblem]:
        if len(self._versions) >= MAX_RECORDS:
            return [ContentProblem("name", f"there are already {MAX_RECORDS} records, the maximum")]
        return name_problems(put.kind, put.name)

    def _accept(self, put: RecordPut, current: Revision | None, digest: str) -> PutOutcome:
        current_record = current.record if current else None
        record = read_content(put.kind, put.schema, put.content, current_record)
        if record.is_error():
            return record.error
        revision = Revision(
            self._revision + 1,
            put.kind,
            put.name,
            put.replaces + 1,
            record.ok,
            put.schema,
            digest,
            put.operator,
        )
        self._append(revision, codec.encode_revision(revision))
        return Accepted(revision)

    def _append(self, revision: Revision, line: bytes) -> None:
        versions = self._versions.setdefault((revision.kind, revision.name), [])
        versions.append(revision)
        self._lines[revision.number] = line
        if len(versions) > MAX_KEPT_VERSIONS:
            del self._lines[versions.pop(0).number]
        self._revision = revision.number


def put_digest(put: RecordPut) -> str:
    """Return a hash of schema and content, which identifies a resent put."""
    return hashlib.sha256(canonical_json([put.schema, put.content])).hexdigest()


def _newer(versions: list[Revision], revision: int) -> list[Revision]:
    return [one for one in versions if one.number > revision]
