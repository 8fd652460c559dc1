"""The store of versioned records, a deterministic function of the puts applied to it.

Each record has versions 1, 2, 3 and so on, and each accepted version gets the next number of one
counter, the revision, which only goes up. A put names the version that it replaces, so that of two
operators who replace the same version one wins and the other is shown what stands. For example
two puts with `replaces=0` and different contents give `Accepted` and then `Conflict`.
"""

import hashlib
from collections.abc import Iterable

from agateferry_state.records import codec
from agateferry_state.records.checks import canonical, name_problems, read_content
from agateferry_state.records.forms import Kind
from agateferry_state.records.messages import (
    Accepted,
    Conflict,
    ContentProblem,
    Invalid,
    PutOutcome,
    RecordPut,
    Revision,
)

MAX_RECORDS = 10_000
MAX_KEPT_VERSIONS = 32
BATCH_REVISIONS = 200

Key = tuple[Kind, str]


class RecordStore:
    """Hold every record with its last `MAX_KEPT_VERSIONS` versions.

    The records plane drives a store by `put`. A zone's cell drives one by `adopt`, with revisions
    that it copied from the records plane. Each revision is encoded once, when it comes in, so that
    a snapshot of many does not hold up the loop.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._versions: dict[Key, list[Revision]] = {}
        self._lines: dict[int, bytes] = {}

    @property
    def revision(self) -> int:
        """Return the number of the newest revision; it never goes down."""
        return self._revision

    def put(self, put: RecordPut) -> PutOutcome:
        """Store a new version, or tell why not; a resend gets the outcome of the first time."""
        digest = put_digest(put)
        repeated = self._find_version(put.kind, put.name, put.replaces + 1)
        if repeated is not None and repeated.digest == digest:
            return Accepted(repeated)
        current = self.get(put.kind, put.name)
        if put.replaces != (current.version if current else 0):
            return Conflict(current)
        if current is None and (problems := self._new_name_problems(put)):
            return Invalid(tuple(problems))
        return self._accept(put, current, digest)

    def get(self, kind: Kind, name: str) -> Revision | None:
        """Return what stands under a name, or None."""
        versions = self._versions.get((kind, name))
        return versions[-1] if versions else None

    def current_revisions(self, kind: Kind) -> tuple[Revision, ...]:
        """Return what stands of a kind, in order of names."""
        current = (versions[-1] for key, versions in self._versions.items() if key[0] is kind)
        return tuple(sorted(current, key=lambda revision: revision.name))

    def history(self, kind: Kind, name: str) -> tuple[Revision, ...]:
        """Return the kept versions of a record, oldest first."""
        return tuple(self._versions.get((kind, name), ()))

    def since(self, revision: int, limit: int = BATCH_REVISIONS) -> tuple[Revision, ...]:
        """Return the oldest `limit` kept revisions after `revision`, in order of numbers.

        Whoever adopts them and asks again from the last one on ends with what stands here.
        """
        if revision >= self._revision:
            return ()
        newer = (one for kept in self._versions.values() for one in _newer(kept, revision))
        return tuple(sorted(newer, key=lambda one: one.number)[:limit])

    def adopt(self, revisions: Iterable[Revision]) -> tuple[Revision, ...]:
        """Take in revisions that the records plane accepted; return those that were new here.

        A revision that is not newer than all that is known here is passed over.
        """
        changes = []
        for one in sorted(revisions, key=lambda revision: revision.number):
            if one.number > self._revision:
                self._append(one, codec.encode_revision(one))
                changes.append(one)
        return tuple(changes)

    def snapshot(self) -> bytes:
        """Return the whole store in a form that `restore` takes."""
        return codec.encode_store(self._revision, self._lines.values())

    def restore(self, data: bytes) -> None:
        """Replace the whole store by a snapshot, which must not be older than the store."""
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
            return [ContentProblem("name", f"there are {MAX_RECORDS} records, the most allowed")]
        return name_problems(put.kind, put.name)

    def _accept(self, put: RecordPut, current: Revision | None, digest: str) -> PutOutcome:
        standing = current.record if current else None
        read = read_content(put.kind, put.schema, put.content, standing)
        if read.is_error():
            return read.error
        revision = Revision(
            self._revision + 1,
            put.kind,
            put.name,
            put.replaces + 1,
            read.ok,
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
    """Return what tells a resend of a put from another content: a hash of schema and content."""
    return hashlib.sha256(canonical([put.schema, put.content])).hexdigest()


def _newer(versions: list[Revision], revision: int) -> list[Revision]:
    return [one for one in versions if one.number > revision]
