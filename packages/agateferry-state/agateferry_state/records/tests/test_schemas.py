import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from agateferry_core.demand import Adjacency, Demand, Shape, Urgency
from agateferry_state.records import (
    Accepted,
    ConfigRecord,
    EvacuationRecord,
    JobRecord,
    Kind,
    RecordPut,
    RecordStore,
    Schema,
    TeamRecord,
    WeightsRecord,
    ZoneGuarantee,
    decode_revisions,
    encode_revisions,
    render_content,
)

SHAPES = st.builds(
    Shape, st.integers(1, 16), st.sampled_from(list(Adjacency)), count=st.integers(1, 4)
)
JOBS = st.builds(
    JobRecord,
    st.sampled_from(list(Urgency)),
    st.booleans(),
    st.builds(
        Demand,
        st.integers(1, 64),
        st.integers(0, 8),
        st.integers(0, 64),
        st.integers(0, 4096),
        st.sampled_from(list(Adjacency)),
    ),
    st.integers(1, 10**9),
    st.booleans(),
    st.booleans(),
    st.integers(1, 9),
)
GUARANTEES = st.dictionaries(
    st.sampled_from(["a-1", "a-2", "a-3"]), st.lists(SHAPES, max_size=3).map(tuple)
).map(lambda zones: tuple(ZoneGuarantee(zone, zones[zone]) for zone in sorted(zones)))
TEAMS = st.builds(TeamRecord, st.floats(0.001, 1000.0), st.integers(0, 10**6), GUARANTEES)
WEIGHTS = st.floats(0.0, 1.0).map(lambda share: WeightsRecord(share, 1.0 - share))
OPTIONAL_NUMBERS = st.none() | st.integers(1, 100)
CONFIGS = st.builds(ConfigRecord, st.none() | WEIGHTS, *([OPTIONAL_NUMBERS] * 7))
EVACUATIONS = st.builds(
    EvacuationRecord, st.booleans(), st.integers(0, 2**53), st.text(max_size=128)
)
RECORDS = st.one_of(JOBS, TEAMS, CONFIGS, EVACUATIONS)
KINDS = {
    JobRecord: Kind.JOB,
    TeamRecord: Kind.TEAM,
    ConfigRecord: Kind.CONFIG,
    EvacuationRecord: Kind.EVACUATION,
}


def put(store, record, content, schema):
    kind = KINDS[type(record)]
    name = "scheduling" if kind is Kind.CONFIG else "one"
    current = store.get(kind, name)
    outcome = store.put(RecordPut(kind, name, schema, current.version if current else 0, content))
    assert isinstance(outcome, Accepted), outcome
    return outcome.revision.record


class RoundTripTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(RECORDS)
    def test_v2_has_all_fields(self, record):
        self.assertEqual(
            record, put(RecordStore(), record, render_content(record, Schema.V2), Schema.V2)
        )

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(RECORDS)
    def test_writing_back_what_v1_reads_changes_nothing(self, record):
        store = RecordStore()
        put(store, record, render_content(record, Schema.V2), Schema.V2)
        self.assertEqual(record, put(store, record, render_content(record, Schema.V1), Schema.V1))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(RECORDS)
    def test_writing_back_what_v2_reads_keeps_what_v1_wrote(self, record):
        store = RecordStore()
        content = render_content(record, Schema.V1)
        written = put(store, record, content, Schema.V1)
        again = put(store, written, render_content(written, Schema.V2), Schema.V2)
        self.assertEqual(content, render_content(again, Schema.V1))

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(RECORDS)
    def test_revisions_are_unchanged_by_encoding_for_a_cell(self, record):
        store = RecordStore()
        put(store, record, render_content(record, Schema.V2), Schema.V2)
        revisions = store.since(0)
        self.assertEqual(revisions, decode_revisions(encode_revisions(revisions)))


class V1ChangeTests(testtools.TestCase):
    def test_a_change_by_v1_keeps_the_fields_that_only_v2_has(self):
        store = RecordStore()
        job = JobRecord(Urgency.LONG, demand=Demand(16, 8, 32, 4096, Adjacency.RACK))
        put(store, job, render_content(job, Schema.V2), Schema.V2)
        content = {**render_content(job, Schema.V1), "members": 4}
        changed = put(store, job, content, Schema.V1)
        self.assertEqual(Demand(4, 8, 32, 4096, Adjacency.RACK), changed.demand)
        self.assertEqual(Urgency.LONG, changed.urgency)

    def test_a_changed_guarantee_keeps_the_shapes_of_other_zones(self):
        store = RecordStore()
        shapes = (Shape(4, Adjacency.WORKER, 2),)
        team = TeamRecord(guarantees=(ZoneGuarantee("a-1", shapes), ZoneGuarantee("a-2", shapes)))
        put(store, team, render_content(team, Schema.V2), Schema.V2)
        content = {
            **render_content(team, Schema.V1),
            "guarantee_accelerators": {"a-1": 8, "a-2": 16},
        }
        changed = put(store, team, content, Schema.V1)
        expected = (
            ZoneGuarantee("a-1", shapes),
            ZoneGuarantee("a-2", (Shape(16, Adjacency.RACK),)),
        )
        self.assertEqual(expected, changed.guarantees)
