import random

import testtools

from agateferry_state.records import (
    Accepted,
    Conflict,
    Kind,
    RecordPut,
    RecordStore,
    Schema,
    decode_revisions,
    encode_revisions,
    render_content,
)

NAME = "contested"
OPERATORS = 4
SEEDS = 40
STEPS = 80
REPLY_LOSS_PROBABILITY = 0.3


class Operator:
    """Read the record, later put a changed content, and resend it if the reply is lost."""

    def __init__(self, number, rng):
        self.number = number
        self.rng = rng
        self.last_run_ms = 0
        self.pending = None
        self.accepted = []

    def act(self, plane):
        if self.pending is None:
            self.pending = self.read(plane)
        elif self.rng.random() > REPLY_LOSS_PROBABILITY:
            self.handle_outcome(plane.put(self.pending))
        else:
            plane.put(self.pending)

    def read(self, plane):
        schema = self.rng.choice(list(Schema))
        current = plane.get(Kind.JOB, NAME)
        self.last_run_ms += OPERATORS
        content = render_content(current.record, schema) | {
            "declared_run_ms": self.last_run_ms + self.number
        }
        return RecordPut(Kind.JOB, NAME, schema, current.version, content)

    def handle_outcome(self, outcome):
        if isinstance(outcome, Accepted):
            revision = outcome.revision
            self.accepted.append((revision.version, revision.record.declared_run_ms))
        self.pending = None

    def finish(self, plane):
        if self.pending is not None:
            self.handle_outcome(plane.put(self.pending))


class RaceTests(testtools.TestCase):
    def test_each_version_is_accepted_once_and_its_operator_learns_of_it(self):
        for seed in range(SEEDS):
            self.run_race(random.Random(seed), seed)

    def run_race(self, rng, seed):
        plane, cell = RecordStore(), RecordStore()
        plane.put(RecordPut(Kind.JOB, NAME, Schema.V2, 0, {"declared_run_ms": 1}))
        operators = [Operator(number, rng) for number in range(OPERATORS)]
        for _ in range(STEPS):
            rng.choice(operators).act(plane)
            if rng.random() < 0.1:
                plane = self.restore_copy(plane)
            if rng.random() < 0.2:
                cell = self.copy_to_cell(plane, cell, rng)
        for operator in operators:
            operator.finish(plane)
        accepted_run_ms = dict(one for operator in operators for one in operator.accepted)
        self.assertEqual(
            sum(len(operator.accepted) for operator in operators), len(accepted_run_ms), seed
        )
        self.assertEqual(list(range(2, plane.revision + 1)), sorted(accepted_run_ms), seed)
        for revision in plane.history(Kind.JOB, NAME)[1:]:
            self.assertEqual(
                accepted_run_ms[revision.version], revision.record.declared_run_ms, seed
            )

    def restore_copy(self, store):
        copy = RecordStore()
        copy.restore(store.snapshot())
        return copy

    def copy_to_cell(self, plane, cell, rng):
        before = cell.revision
        batch = list(decode_revisions(encode_revisions(plane.since(rng.randint(0, before), 9))))
        rng.shuffle(batch)
        cell.adopt(batch)
        self.assertGreaterEqual(cell.revision, before)
        return self.restore_copy(cell) if rng.random() < 0.3 else cell


class EqualVersionTests(testtools.TestCase):
    def test_the_first_of_two_puts_is_accepted_in_either_order(self):
        for first, second in ((5, 6), (6, 5)):
            store = RecordStore()
            puts = [
                RecordPut(Kind.JOB, NAME, Schema.V2, 0, {"declared_run_ms": run_ms})
                for run_ms in (first, second)
            ]
            outcomes = [store.put(put) for put in (*puts, *puts)]
            kinds = [type(outcome) for outcome in outcomes]
            self.assertEqual([Accepted, Conflict, Accepted, Conflict], kinds)
            self.assertEqual(outcomes[0], outcomes[2])
            self.assertEqual(first, outcomes[3].current.record.declared_run_ms)
