import testtools

from agateferry_state.records import (
    Accepted,
    Conflict,
    EvacuationRecord,
    Invalid,
    Kind,
    RecordPut,
    RecordsMachine,
    RecordStore,
    Schema,
    encode_put,
    render_content,
)
from agateferry_state.records.store import MAX_KEPT_VERSIONS


def job_put(replaces, run_ms=500, name="barn-count", schema=Schema.V2):
    return RecordPut(Kind.JOB, name, schema, replaces, {"declared_run_ms": run_ms})


def store_with_versions(count):
    store = RecordStore()
    for version in range(count):
        store.put(job_put(version, 1 + version))
    return store


class PutTests(testtools.TestCase):
    def test_versions_and_revisions_increase_by_one(self):
        store = RecordStore()
        outcomes = [
            store.put(job_put(0)),
            store.put(job_put(1, 600)),
            store.put(job_put(0, name="b")),
        ]
        numbers = [(one.revision.version, one.revision.number) for one in outcomes]
        self.assertEqual([(1, 1), (2, 2), (1, 3)], numbers)

    def test_of_two_puts_that_replace_one_version_only_the_first_succeeds(self):
        store = store_with_versions(1)
        first, second = store.put(job_put(1, 700)), store.put(job_put(1, 800))
        self.assertIsInstance(first, Accepted)
        self.assertEqual(Conflict(first.revision), second)
        self.assertEqual(2, store.revision)

    def test_a_resent_put_gets_its_first_outcome_even_after_newer_versions(self):
        store = RecordStore()
        first = store.put(job_put(0))
        store.put(job_put(1, 600))
        self.assertEqual(first, store.put(job_put(0)))
        self.assertEqual(2, store.revision)

    def test_a_resent_put_is_recognized_whatever_the_order_of_its_keys(self):
        store = RecordStore()
        content = {"urgency": "long", "declared_run_ms": 5}
        first = store.put(RecordPut(Kind.JOB, "j", Schema.V2, 0, content))
        reordered = dict(reversed(content.items()))
        self.assertEqual(first, store.put(RecordPut(Kind.JOB, "j", Schema.V2, 0, reordered)))

    def test_another_content_for_a_used_version_conflicts_with_the_current_one(self):
        store = store_with_versions(3)
        self.assertEqual(Conflict(store.get(Kind.JOB, "barn-count")), store.put(job_put(0, 999)))

    def test_replacing_a_version_that_does_not_exist_conflicts(self):
        self.assertEqual(Conflict(None), RecordStore().put(job_put(4)))

    def test_an_invalid_content_changes_nothing(self):
        store = store_with_versions(1)
        self.assertIsInstance(store.put(job_put(1, -5)), Invalid)
        self.assertEqual((1, 1), (store.revision, len(store.history(Kind.JOB, "barn-count"))))

    def test_history_keeps_the_newest_versions(self):
        versions = [one.version for one in store_with_versions(40).history(Kind.JOB, "barn-count")]
        self.assertEqual(list(range(41 - MAX_KEPT_VERSIONS, 41)), versions)


class SnapshotTests(testtools.TestCase):
    def test_a_restored_store_recognizes_resent_puts(self):
        store = RecordStore()
        first = store.put(job_put(0))
        store.put(RecordPut(Kind.TEAM, "t", Schema.V1, 0, {"guarantee_accelerators": {"z": 8}}))
        store.put(RecordPut(Kind.CONFIG, "scheduling", Schema.V1, 0, {"completion_weight": 0.7}))
        store.put(job_put(1, 600))
        copy = RecordStore()
        copy.restore(store.snapshot())
        self.assertEqual(first, copy.put(job_put(0)))
        self.assertEqual(store.since(0), copy.since(0))
        self.assertEqual(store.snapshot(), copy.snapshot())

    def test_an_older_snapshot_is_rejected(self):
        with testtools.ExpectedException(ValueError):
            store_with_versions(2).restore(store_with_versions(1).snapshot())

    def test_replicas_that_restore_midway_agree(self):
        whole, late = RecordsMachine(), RecordsMachine()
        for version in range(50):
            if version == 30:
                late.restore(whole.snapshot())
            command = encode_put(job_put(version, 1 + version))
            outcome = whole.apply(version, command)
            if version >= 30:
                self.assertEqual(outcome, late.apply(version, command))
        self.assertEqual(whole.snapshot(), late.snapshot())


class EvacuationTests(testtools.TestCase):
    def test_a_snapshot_keeps_an_evacuation(self):
        store = RecordStore()
        content = {"evacuated": True, "since_ms": 7, "requested_by": "ada"}
        store.put(RecordPut(Kind.EVACUATION, "z", Schema.V2, 0, content))
        copy = RecordStore()
        copy.restore(store.snapshot())
        self.assertEqual(EvacuationRecord(True, 7, "ada"), copy.get(Kind.EVACUATION, "z").record)


class AdoptTests(testtools.TestCase):
    def test_adopt_adds_only_new_revisions(self):
        plane, cell = store_with_versions(3), RecordStore()
        self.assertEqual(plane.since(0), cell.adopt(plane.since(0)))
        self.assertEqual((), cell.adopt(plane.since(0)))
        self.assertEqual((3, ()), (cell.revision, plane.since(cell.revision)))

    def test_a_cell_catches_up_in_batches_although_old_versions_are_dropped(self):
        plane, cell = store_with_versions(100), RecordStore()
        while batch := plane.since(cell.revision, 7):
            cell.adopt(batch)
        self.assertEqual(plane.get(Kind.JOB, "barn-count"), cell.get(Kind.JOB, "barn-count"))

    def test_the_revision_never_decreases(self):
        plane, cell = store_with_versions(5), RecordStore()
        cell.adopt(plane.since(0))
        self.assertEqual((), cell.adopt(store_with_versions(2).since(0)))
        content = render_content(cell.get(Kind.JOB, "barn-count").record, Schema.V2)
        self.assertEqual((5, 5), (cell.revision, content["declared_run_ms"]))
