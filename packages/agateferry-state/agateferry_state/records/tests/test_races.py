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
LOST_ANSWERS = 0.3


class Operator:
    """Read, state a content of its own, put it a while later, and repeat what got no answer."""

    def __init__(self, number, rng):
        self.number = number
        self.rng = rng
        self.stated = 0
        self.pending = None
        self.accepted = []

    def act(self, plane):
        if self.pending is None:
            self.pending = self.read(plane)
        elif self.rng.random() > LOST_ANSWERS:
            self.take(plane.put(self.pending))
        else:
            plane.put(self.pending)

    def read(self, plane):
        schema = self.rng.choice(list(Schema))
        current = plane.get(Kind.JOB, NAME)
        self.stated += OPERATORS
        content = render_content(current.record, schema) | {
            "declared_run_ms": self.stated + self.number
        }
        return RecordPut(Kind.JOB, NAME, schema, current.version, content)

    def take(self, outcome):
        if isinstance(outcome, Accepted):
            revision = outcome.revision
            self.accepted.append((revision.version, revision.record.declared_run_ms))
        self.pending = None

    def settle(self, plane):
        if self.pending is not None:
            self.take(plane.put(self.pending))


class RaceTests(testtools.TestCase):
    def test_each_version_has_one_winner_and_each_winner_learns_of_it(self):
        for seed in range(SEEDS):
            self.race(random.Random(seed), seed)

    def race(self, rng, seed):
        plane, cell = RecordStore(), RecordStore()
        plane.put(RecordPut(Kind.JOB, NAME, Schema.V2, 0, {"declared_run_ms": 1}))
        operators = [Operator(number, rng) for number in range(OPERATORS)]
        for _ in range(STEPS):
            rng.choice(operators).act(plane)
            if rng.random() < 0.1:
                plane = self.restarted(plane)
            if rng.random() < 0.2:
                cell = self.copied(plane, cell, rng)
        for operator in operators:
            operator.settle(plane)
        won = dict(one for operator in operators for one in operator.accepted)
        self.assertEqual(sum(len(operator.accepted) for operator in operators), len(won), seed)
        self.assertEqual(list(range(2, plane.revision + 1)), sorted(won), seed)
        for revision in plane.history(Kind.JOB, NAME)[1:]:
            self.assertEqual(won[revision.version], revision.record.declared_run_ms, seed)

    def restarted(self, store):
        copy = RecordStore()
        copy.restore(store.snapshot())
        return copy

    def copied(self, plane, cell, rng):
        before = cell.revision
        batch = list(decode_revisions(encode_revisions(plane.since(rng.randint(0, before), 9))))
        rng.shuffle(batch)
        cell.adopt(batch)
        self.assertGreaterEqual(cell.revision, before)
        return self.restarted(cell) if rng.random() < 0.3 else cell


class EqualVersionTests(testtools.TestCase):
    def test_one_winner_whoever_comes_first(self):
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
