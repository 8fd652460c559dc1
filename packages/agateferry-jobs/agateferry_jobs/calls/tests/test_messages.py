"""The bytes and labels of messages do not depend on the names of their classes.

Hosts of two versions call each other during an upgrade, and dashboards match the labels.
"""

import typing

import msgspec
import testtools

from agateferry_jobs.calls import messages
from agateferry_jobs.ledger import Run, WorkerIncarnation, commands
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.ledger.state import JobState
from agateferry_jobs.manifest import Manifest
from agateferry_jobs.workers import port

TARGET = messages.CallTarget("h", "/q/1", "k")
TARGET_WIRE = {"host": "h", "path": "/q/1", "key": "k"}
STEP = StepSpec(2, Resources(1, 2, 3), is_speculative=True, is_long_running=True)
STEP_WIRE = {
    "count": 2,
    "need": {"cpu": 1, "mem_mb": 2, "gpu": 3},
    "may_copy": True,
    "lasts": True,
}
STEP_WIRE_WITH_DEFAULTS = {
    "count": 2,
    "need": {"cpu": 1, "mem_mb": 2, "gpu": 3},
    "estimated_ms": 0,
    "depends_on": [],
    "is_gang": False,
    "same_rack": False,
    "required_label": "",
    "data_rack": "",
    "max_per_worker": 0,
    "saves_checkpoints": False,
    "may_copy": True,
    "lasts": True,
    "image": "",
    "target_ms": 0,
    "fills": False,
    "max_unavailable": 0,
}
JOB = JobSpec("p", (STEP,))
JOB_WIRE = {
    "payload": "p",
    "steps": [STEP_WIRE],
    "start_at_ms": 0,
    "interval_ms": 0,
    "repeat_count": 0,
}
WORKER = WorkerIncarnation("w", 4, "s", "a:1", "z", Resources(1, 2, 3), ("kind", "r1"), 8, "m")
WORKER_WIRE = {
    "id": "w",
    "born": 4,
    "service": "s",
    "address": "a:1",
    "zone": "z",
    "capacity": {"cpu": 1, "mem_mb": 2, "gpu": 3},
    "labels": ["kind", "r1"],
    "slots": 8,
    "machine": "m",
    "state": "ready",
}
MANIFEST_WIRE = {"version": 7, "queues": [], "services": [], "teams": [], "source": b"src"}
HEARTBEAT_WIRE = {
    "worker": WORKER_WIRE,
    "sequence": 5,
    "clock_ms": 6,
    "remaining_ms": 7,
    "cold_remaining_ms": 0,
}
EVACUATED_ZONE_WIRE = {"zone": "z", "since_ms": 5, "requested_by": "op", "runs": 2}
SUBMIT_WIRE = {"place": TARGET_WIRE, "job": JOB_WIRE, "flaw": "bad"}

CALLS = [
    (messages.Submit(TARGET, JOB, "bad"), "Submit", {"type": "submit"} | SUBMIT_WIRE),
    (messages.GetStatus(TARGET), "Look", {"type": "look", "place": TARGET_WIRE}),
    (messages.Cancel(TARGET), "Cancel", {"type": "cancel", "place": TARGET_WIRE}),
    (messages.Heartbeat(WORKER, 5, 6, 7), "Beat", {"type": "beat"} | HEARTBEAT_WIRE),
    (
        messages.HeartbeatBatch((messages.Heartbeat(WORKER, 5, 6, 7),)),
        "Beats",
        {"type": "beats", "heartbeats": [{"type": "beat"} | HEARTBEAT_WIRE]},
    ),
    (messages.Deregister("w"), "Leave", {"type": "leave", "worker": "w"}),
    (
        messages.InstallManifest(Manifest(7, source=b"src")),
        "Install",
        {"type": "install", "manifest": MANIFEST_WIRE},
    ),
    (messages.ReadManifest(), "ReadManifest", {"type": "read-manifest"}),
    (messages.Ping(), "Ping", {"type": "ping"}),
    (
        messages.EvacuateZone("z", "op", 3),
        "EvacuateZone",
        {"type": "evacuate", "zone": "z", "requested_by": "op", "revision": 3},
    ),
    (
        messages.ReadmitZone("z", "op", 3),
        "ReadmitZone",
        {"type": "readmit", "zone": "z", "requested_by": "op", "revision": 3},
    ),
    (messages.ReadEvacuations(), "ReadEvacuations", {"type": "read-evacuations"}),
]
REPLIES = [
    (messages.Done(), "Done", {"type": "done"}),
    (
        messages.HeartbeatReplies((messages.Done(), messages.OutcomeUnknown("why"))),
        "BeatsNoted",
        {
            "type": "beats-noted",
            "replies": [{"type": "done"}, {"type": "uncertain", "reason": "why"}],
        },
    ),
    (messages.JobStatus(JobState.QUEUED), "Shown", {"type": "shown", "state": "queued"}),
    (
        messages.JobStatus(JobState.FAILED, "why"),
        "Shown",
        {"type": "shown", "state": "failed", "reason": "why"},
    ),
    (messages.QueueDepth(3), "Counted", {"type": "counted", "waiting": 3}),
    (messages.UnknownQueue(), "NoQueue", {"type": "no-queue"}),
    (messages.InvalidApiKey(), "BadKey", {"type": "bad-key"}),
    (messages.UnknownJob(), "NoJob", {"type": "no-job"}),
    (messages.Invalid("why"), "Invalid", {"type": "invalid", "reason": "why"}),
    (messages.ManifestRead(b"src"), "ManifestRead", {"type": "manifest", "source": b"src"}),
    (
        messages.Refused("why", 9),
        "Refused",
        {"type": "refused", "reason": "why", "retry_after_ms": 9},
    ),
    (
        messages.EvacuationsRead((messages.EvacuatedZone("z", 5, "op", 2),), {"z": 3}),
        "EvacuationsRead",
        {"type": "evacuations", "zones": [EVACUATED_ZONE_WIRE], "revisions": {"z": 3}},
    ),
    (messages.Outdated(), "Outdated", {"type": "outdated"}),
    (messages.NotLeader("h"), "NotLeader", {"type": "not-leader", "leader": "h"}),
    (messages.OutcomeUnknown("why"), "Uncertain", {"type": "uncertain", "reason": "why"}),
]
WORKER_ANSWERS = [
    (port.Confirmed(1), "Confirmed"),
    (port.RunLists(1, 2, (), ()), "Listed"),
    (port.Rejected("why"), "Rejected"),
    (port.IncarnationMismatch(), "OtherLife"),
    (port.NoAnswer("why"), "NoAnswer"),
]


class WireTests(testtools.TestCase):
    def test_calls_keep_their_bytes_and_labels(self):
        self.assertEqual(
            set(typing.get_args(messages.Call)), {type(message) for message, _, _ in CALLS}
        )
        for message, label, wire in CALLS:
            data = messages.encode(message)
            self.assertEqual(wire, msgspec.msgpack.decode(data), label)
            self.assertEqual(message, messages.decode_call(data), label)
            self.assertEqual(label, message.label)

    def test_a_step_of_an_earlier_version_which_has_all_fields_is_read(self):
        """Steps have left out the fields with defaults since a job may have 20,000 of them."""
        job = JOB_WIRE | {"steps": [STEP_WIRE_WITH_DEFAULTS]}
        wire = {"type": "submit"} | SUBMIT_WIRE | {"job": job}
        call = messages.decode_call(msgspec.msgpack.encode(wire))
        self.assertEqual(messages.Submit(TARGET, JOB, "bad"), call)

    def test_a_heartbeat_of_an_earlier_version_is_of_a_warm_worker(self):
        wire = {"type": "beat"} | HEARTBEAT_WIRE
        del wire["cold_remaining_ms"]
        heartbeat = messages.decode_call(msgspec.msgpack.encode(wire))
        self.assertEqual(messages.Heartbeat(WORKER, 5, 6, 7), heartbeat)

    def test_replies_keep_their_bytes_and_labels(self):
        self.assertEqual(
            set(typing.get_args(messages.Reply)), {type(message) for message, _, _ in REPLIES}
        )
        for message, label, wire in REPLIES:
            envelope = messages.ReplyEnvelope(message, ("h",))
            data = messages.encode(envelope)
            self.assertEqual({"reply": wire, "hosts": ["h"]}, msgspec.msgpack.decode(data), label)
            self.assertEqual(envelope, messages.decode_reply(data), label)
            self.assertEqual(label, message.label)

    def test_answers_of_workers_keep_their_labels(self):
        for answer, label in WORKER_ANSWERS:
            self.assertEqual(label, answer.label)
        self.assertEqual("OtherLife()", str(port.IncarnationMismatch()))

    def test_ends_of_runs_keep_their_bytes_in_the_log(self):
        end = commands.RunEnded("j", "0.0.0", Run(1, "w", 4), commands.RunOutcome.LAPSED, "c")
        data = commands.encode(commands.EndRuns((end,), 5))
        run = {"number": 1, "worker": "w", "born": 4}
        ended = {"job": "j", "subtask": "0.0.0", "run": run, "how": "lapsed", "checkpoint": "c"}
        self.assertEqual({"type": "end", "ends": [ended], "at_ms": 5}, msgspec.msgpack.decode(data))
