import testtools

from agateferry_jobs import metrics
from agateferry_jobs.cell.waiting_jobs import IDLE_LIMIT_MS, LOG_INTERVAL_MS, WaitingJobs
from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.planning import Plan
from agateferry_jobs.planning.idle_jobs import IdleJob, WaitChoice
from agateferry_jobs.planning.wait_reasons import WaitReason
from agateferry_jobs.support import job_command


class RecordingLog:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event.number, fields))

    warning = info


class WaitingJobsCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        ledger = Ledger()
        ledger.apply(1, commands.encode(job_command("j", at_ms=100)))
        self.waiting = WaitingJobs(ledger)
        self.log = self.waiting._log = RecordingLog()

    def observe(self, now_ms, reason):
        waits = {"j": reason} if reason else {}
        self.waiting.observe(Plan(waits=waits), now_ms)

    def counted(self, reason):
        return metrics.PASSED_OVER.labels(reason.value)._value.get()


class WaitingJobsTests(WaitingJobsCase):
    def test_a_reason_is_logged_and_counted_once(self):
        """Guards against a log line and a count for each plan."""
        before = self.counted(WaitReason.LATE)
        for now_ms in (500, 600):
            self.observe(now_ms, WaitReason.LATE)
        self.assertEqual(before + 1, self.counted(WaitReason.LATE))
        fields = {"job": "j", "reason": "late", "waited_ms": 400, "priority": 1, "team": "team"}
        self.assertEqual([(7315, fields)], self.log.lines)

    def test_a_reason_that_alternates_is_logged_at_intervals(self):
        """A job whose reason changes with each plan would fill the log."""
        for now_ms in range(0, LOG_INTERVAL_MS + 1, 100):
            self.observe(now_ms, WaitReason.NO_ROOM if now_ms % 200 else WaitReason.RESERVED)
        self.assertEqual(2, len(self.log.lines))

    def test_a_reason_that_came_up_within_the_interval_is_logged_if_it_lasts(self):
        """An urgent job waited as late for 27 s, and the log told only of its first reason."""
        self.observe(0, WaitReason.NOTHING_TO_STOP)
        for now_ms in (LOG_INTERVAL_MS // 2, LOG_INTERVAL_MS, 2 * LOG_INTERVAL_MS):
            self.observe(now_ms, WaitReason.LATE)
        reasons = [fields["reason"] for _, fields in self.log.lines]
        self.assertEqual(["nothing-to-stop", "late"], reasons)

    def test_a_job_that_has_started_is_forgotten(self):
        self.observe(0, WaitReason.NO_ROOM)
        self.observe(100, None)
        self.observe(200, WaitReason.NO_ROOM)
        self.assertEqual(2, len(self.log.lines))


class IdleJobTests(WaitingJobsCase):
    """A job was lost to its caller beside free workers, and no log line said that it waited."""

    def observe_idle(self, now_ms, idle_ms):
        idle = {} if idle_ms is None else {"j": IdleJob(idle_ms, 10, 5, (WaitChoice.RACK,))}
        self.waiting.observe(Plan(waits={"j": WaitReason.LATE}, idle=idle), now_ms)

    def numbers(self):
        return [number for number, _ in self.log.lines]

    def test_the_room_and_the_choices_are_logged_with_the_reason(self):
        self.observe_idle(500, idle_ms=300)
        number, fields = self.log.lines[0]
        self.assertEqual(7315, number)
        self.assertEqual((300, 10, 5), (fields["idle_ms"], fields["room"], fields["needed"]))
        self.assertEqual(["rack"], fields["choices"])

    def test_a_job_that_is_idle_for_too_long_is_warned_of_once_and_counted(self):
        for now_ms in (0, 100):
            self.observe_idle(now_ms, IDLE_LIMIT_MS)
        self.assertEqual([7315, 7316], self.numbers())
        self.assertEqual(1, metrics.IDLE_JOBS._value.get())
        self.observe(200, None)
        self.assertEqual(0, metrics.IDLE_JOBS._value.get())

    def test_a_job_that_comes_to_fit_is_logged_again_for_the_same_reason(self):
        """A gang waited for its rack while workers became free, and its last line was old."""
        self.observe_idle(0, idle_ms=None)
        self.observe_idle(LOG_INTERVAL_MS, idle_ms=0)
        self.assertEqual([7315, 7315], self.numbers())
