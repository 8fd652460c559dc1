import testtools

from agateferry_core.demand import Demand, Urgency
from agateferry_service.requests import (
    CommandResultKind,
    Ledger,
    RequestSpec,
    RequestState,
    RunCertainty,
    Stage,
)
from agateferry_service.requests.codec import spec_to_pb
from agateferry_service.rpc import commands_pb2 as pb


def make_spec(request_id="z.1", key="", digest=b"d", idempotent=True, max_attempts=3):
    return RequestSpec(
        id=request_id,
        team="t",
        job="j",
        key=key,
        body_digest=digest,
        payload="p",
        demand=Demand(),
        urgency=Urgency.NORMAL,
        idempotent=idempotent,
        preemptible=True,
        checkpointable=False,
        max_attempts=max_attempts,
        declared_run_ms=1,
        deadline_wall_ms=0,
        submitted_wall_ms=0,
    )


def accept(ledger, placed=False, **fields):
    placements = [pb.Placement(member=0, worker="w", incarnation="i")] if placed else []
    return ledger.accept(pb.Accept(spec=spec_to_pb(make_spec(**fields)), placements=placements))


def fail(ledger, run, attempt=1, reason="failed"):
    return ledger.attempt_failed(
        pb.AttemptFailed(
            request_id="z.1",
            attempt=attempt,
            reason=reason,
            run=run,
            counts=True,
            checkpoint_step=-1,
        )
    )


class KeyTests(testtools.TestCase):
    def test_a_resend_returns_the_first_request(self):
        ledger = Ledger()
        accept(ledger, key="k")
        result = accept(ledger, key="k", request_id="z.2")
        self.assertEqual((CommandResultKind.DUPLICATE, "z.1"), (result.kind, result.request.id))

    def test_a_key_with_another_body_is_refused(self):
        ledger = Ledger()
        accept(ledger, key="k")
        result = accept(ledger, key="k", request_id="z.2", digest=b"other")
        self.assertEqual((CommandResultKind.KEY_REUSED, 1), (result.kind, len(ledger)))

    def test_keys_survive_a_snapshot_and_are_dropped_with_their_request(self):
        ledger = Ledger()
        accept(ledger, key="k")
        ledger.cancel(pb.RequestCancel(request_id="z.1", wall_ms=5))
        copy = Ledger()
        copy.load(ledger.store())
        self.assertEqual("z.1", copy.by_key("t", "k").id)
        copy.forget(pb.Forget(ended_before_wall_ms=6))
        self.assertIsNone(copy.by_key("t", "k"))


class CancellationTests(testtools.TestCase):
    def test_a_waiting_request_is_cancelled_at_once_and_has_not_run(self):
        ledger = Ledger()
        accept(ledger)
        request = ledger.cancel(pb.RequestCancel(request_id="z.1")).request
        self.assertEqual(
            (RequestState.CANCELLED, Stage.ACCEPTED, RunCertainty.NOT_RUN),
            (request.state, request.stage, request.run),
        )

    def test_a_finish_before_the_stop_takes_precedence(self):
        ledger = Ledger()
        accept(ledger, placed=True)
        ledger.cancel(pb.RequestCancel(request_id="z.1"))
        ledger.finish(pb.Finish(request_id="z.1", attempt=1, answers=["a"]))
        late = fail(ledger, RunCertainty.RAN)
        self.assertEqual(CommandResultKind.ALREADY_ENDED, late.kind)
        self.assertEqual(
            (RequestState.FINISHED, ("a",)), (late.request.state, late.request.answers)
        )

    def test_a_cancelled_request_keeps_its_last_checkpoint(self):
        ledger = Ledger()
        accept(ledger, placed=True)
        ledger.cancel(pb.RequestCancel(request_id="z.1"))
        stopped = pb.AttemptFailed(
            request_id="z.1", attempt=1, run=RunCertainty.RAN, progress=0.5, checkpoint_step=4
        )
        request = ledger.attempt_failed(stopped).request
        self.assertEqual(
            (Stage.CHECKPOINTED, 4, 0.5), (request.stage, request.checkpoint_step, request.progress)
        )

    def test_a_second_cancellation_changes_nothing(self):
        ledger = Ledger()
        accept(ledger)
        first = ledger.cancel(pb.RequestCancel(request_id="z.1", wall_ms=1)).request
        again = ledger.cancel(pb.RequestCancel(request_id="z.1", wall_ms=9))
        self.assertEqual((CommandResultKind.ALREADY_ENDED, 1), (again.kind, first.ended_wall_ms))


class AttemptTests(testtools.TestCase):
    def test_a_request_that_is_not_idempotent_fails_if_it_may_have_run(self):
        ledger = Ledger()
        accept(ledger, placed=True, idempotent=False)
        request = fail(ledger, RunCertainty.MAY_HAVE_RUN).request
        self.assertEqual(
            (RequestState.FAILED, RunCertainty.MAY_HAVE_RUN), (request.state, request.run)
        )
        again = ledger.place(pb.Place(request_id="z.1", attempt=2))
        self.assertEqual(CommandResultKind.STALE, again.kind)

    def test_a_request_that_is_not_idempotent_waits_again_if_it_did_not_run(self):
        ledger = Ledger()
        accept(ledger, placed=True, idempotent=False)
        self.assertEqual(RequestState.ACCEPTED, fail(ledger, RunCertainty.NOT_RUN).request.state)

    def test_attempts_are_bounded(self):
        ledger = Ledger()
        accept(ledger, placed=True, max_attempts=2)
        fail(ledger, RunCertainty.RAN)
        ledger.place(pb.Place(request_id="z.1", attempt=2))
        self.assertEqual(
            RequestState.FAILED, fail(ledger, RunCertainty.RAN, attempt=2).request.state
        )

    def test_a_late_answer_of_an_older_attempt_is_ignored(self):
        ledger = Ledger()
        accept(ledger, placed=True)
        fail(ledger, RunCertainty.RAN)
        ledger.place(pb.Place(request_id="z.1", attempt=2))
        late = ledger.finish(pb.Finish(request_id="z.1", attempt=1, answers=["old"]))
        self.assertEqual((CommandResultKind.STALE, ()), (late.kind, late.request.answers))

    def test_a_duplicate_answer_is_ignored(self):
        ledger = Ledger()
        accept(ledger, placed=True)
        for answer in ("first", "second"):
            ledger.finish(pb.Finish(request_id="z.1", attempt=1, answers=[answer]))
        request = ledger.get("z.1")
        self.assertEqual((RequestState.FINISHED, ("first",)), (request.state, request.answers))

    def test_an_answer_after_the_end_is_ignored(self):
        ledger = Ledger()
        accept(ledger, placed=True, idempotent=False)
        fail(ledger, RunCertainty.MAY_HAVE_RUN)
        ledger.finish(pb.Finish(request_id="z.1", attempt=1, answers=["late"]))
        request = ledger.get("z.1")
        self.assertEqual((RequestState.FAILED, ()), (request.state, request.answers))

    def test_a_lease_is_active_only_in_its_own_attempt(self):
        ledger = Ledger()
        accept(ledger, placed=True)
        self.assertEqual(
            [True, False, False],
            [ledger.is_active_lease(lease) for lease in ("z.1.1.0", "z.1.2.0", "other")],
        )
