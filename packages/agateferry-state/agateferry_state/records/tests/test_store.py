import testtools

from agateferry_state.records import (
    Accepted,
    Conflict,
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


def filled(count):
    store = RecordStore()
    for version in range(count):
        store.put(job_put(version, 1 + version))
    return store


class PutTests(testtools.TestCase):
    def test_versions_and_revisions_count_up(self):
        store = RecordStore()
        outcomes = [
            store.put(job_put(0)),
            store.put(job_put(1, 600)),
            store.put(job_put(0, name="b")),
        ]
        numbers = [(one.revision.version, one.revision.number) for one in outcomes]
        self.assertEqual([(1, 1), (2, 2), (1, 3)], numbers)

    def test_of_two_operators_with_equal_versions_one_wins(self):
        store = filled(1)
        first, second = store.put(job_put(1, 700)), store.put(job_put(1, 800))
        self.assertIsInstance(first, Accepted)
        self.assertEqual(Conflict(first.revision), second)
        self.assertEqual(2, store.revision)

    def test_a_resend_gets_the_first_answer_also_when_newer_versions_stand(self):
        store = RecordStore()
        first = store.put(job_put(0))
        store.put(job_put(1, 600))
        self.assertEqual(first, store.put(job_put(0)))
        self.assertEqual(2, store.revision)

    def test_a_resend_is_known_by_content_and_not_by_the_order_of_its_keys(self):
        store = RecordStore()
        content = {"urgency": "long", "declared_run_ms": 5}
        first = store.put(RecordPut(Kind.JOB, "j", Schema.V2, 0, content))
        turned = dict(reversed(content.items()))
        self.assertEqual(first, store.put(RecordPut(Kind.JOB, "j", Schema.V2, 0, turned)))

    def test_other_content_for_a_used_version_is_shown_what_stands(self):
        store = filled(3)
        self.assertEqual(Conflict(store.get(Kind.JOB, "barn-count")), store.put(job_put(0, 999)))

    def test_a_version_that_is_not_there_yet_conflicts(self):
        self.assertEqual(Conflict(None), RecordStore().put(job_put(4)))

    def test_an_invalid_content_changes_nothing(self):
        store = filled(1)
        self.assertIsInstance(store.put(job_put(1, -5)), Invalid)
        self.assertEqual((1, 1), (store.revision, len(store.history(Kind.JOB, "barn-count"))))

    def test_history_keeps_the_newest_versions(self):
        versions = [one.version for one in filled(40).history(Kind.JOB, "barn-count")]
        self.assertEqual(list(range(41 - MAX_KEPT_VERSIONS, 41)), versions)


class SnapshotTests(testtools.TestCase):
    def test_a_restored_store_answers_resends_as_before(self):
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

    def test_an_older_snapshot_is_refused(self):
        with testtools.ExpectedException(ValueError):
            filled(2).restore(filled(1).snapshot())

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


class AdoptTests(testtools.TestCase):
    def test_a_cell_copies_what_is_new(self):
        plane, cell = filled(3), RecordStore()
        self.assertEqual(plane.since(0), cell.adopt(plane.since(0)))
        self.assertEqual((), cell.adopt(plane.since(0)))
        self.assertEqual((3, ()), (cell.revision, plane.since(cell.revision)))

    def test_a_cell_catches_up_in_batches_over_versions_no_longer_kept(self):
        plane, cell = filled(100), RecordStore()
        while batch := plane.since(cell.revision, 7):
            cell.adopt(batch)
        self.assertEqual(plane.get(Kind.JOB, "barn-count"), cell.get(Kind.JOB, "barn-count"))

    def test_the_revision_never_goes_down(self):
        plane, cell = filled(5), RecordStore()
        cell.adopt(plane.since(0))
        self.assertEqual((), cell.adopt(filled(2).since(0)))
        shown = render_content(cell.get(Kind.JOB, "barn-count").record, Schema.V2)
        self.assertEqual((5, 5), (cell.revision, shown["declared_run_ms"]))
