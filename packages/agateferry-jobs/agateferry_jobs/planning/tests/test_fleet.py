import testtools

from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.planning import Fleet, WorkerHealth
from agateferry_jobs.support import job_command, worker


class UnexpectedRunTests(testtools.TestCase):
    """A worker may list runs that the ledger does not place there, under any name."""

    def fleet(self, *names):
        ledger = Ledger()
        for command in (worker_command(), job_command("j1")):
            ledger.apply(1, commands.encode(command))
        health = WorkerHealth(unexpected_runs=tuple(("j1", name) for name in names))
        return Fleet.from_ledger(ledger, {"w1": health}, ()).by_service["pool"][0]

    def test_an_unexpected_run_uses_resources_until_it_has_ended(self):
        allocation = self.fleet("0.0.0")
        self.assertEqual(7, allocation.free.gpu)
        self.assertEqual(8, allocation.free_after_stops.gpu)

    def test_names_that_the_job_does_not_have_do_not_stop_planning(self):
        allocation = self.fleet("", "x", "0", "0.9.0", "0.x.0")
        self.assertEqual((8, []), (allocation.free.gpu, allocation.runs))


def worker_command():
    return commands.NoteWorker(worker("w1"))
