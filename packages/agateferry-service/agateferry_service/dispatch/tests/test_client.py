import hashlib
import json

import testtools

from agateferry_core.metrics import Metrics
from agateferry_core.support import run_async
from agateferry_service.dispatch.client import WorkerClient, parse_reply
from agateferry_service.dispatch.messages import LeaseState, WorkerErrorKind


def reply(lease="z.1.1.0", answer="barn 12", **changed):
    data = answer.encode()
    body = {
        "lease": lease,
        "state": "finished",
        "answer": answer,
        "length": len(data),
        "digest": hashlib.sha256(data).hexdigest(),
    }
    return json.dumps(body | changed).encode()


class ParseReplyTests(testtools.TestCase):
    def parse_error(self, data, status=200):
        return parse_reply("z.1.1.0", status, data).error.kind

    def test_an_intact_answer_is_accepted(self):
        view = parse_reply("z.1.1.0", 200, reply()).ok
        self.assertEqual((LeaseState.FINISHED, "barn 12"), (view.state, view.answer))

    def test_a_truncated_answer_is_rejected(self):
        whole = reply()
        for data in (whole[:-9], b"", reply(answer="barn 1", length=7), reply(length=6)):
            self.assertEqual(WorkerErrorKind.GARBLED, self.parse_error(data))

    def test_an_answer_without_length_or_digest_is_rejected(self):
        for name in ("length", "digest"):
            self.assertEqual(WorkerErrorKind.GARBLED, self.parse_error(reply(**{name: None})))

    def test_an_altered_answer_of_equal_length_is_rejected(self):
        data = reply().replace(b"barn 12", b"barn 13")
        self.assertEqual(WorkerErrorKind.GARBLED, self.parse_error(data))

    def test_an_answer_about_another_lease_is_rejected(self):
        for lease in ("z.2.1.0", "z.1.2.0", "z.1.1.1"):
            self.assertEqual(WorkerErrorKind.GARBLED, self.parse_error(reply(lease)))

    def test_only_a_refusal_by_the_worker_counts_as_refused(self):
        self.assertEqual(WorkerErrorKind.REFUSED, self.parse_error(b"{}", 503))
        for status in (500, 502, 504):
            self.assertEqual(WorkerErrorKind.GARBLED, self.parse_error(b"{}", status))


class OddAddressTests(testtools.TestCase):
    def test_a_call_to_an_address_that_no_worker_has_was_never_sent(self):
        """The error of the HTTP client ended the attempt that made the call."""

        async def main():
            client = WorkerClient(Metrics())
            try:
                for address in ("..:80", "x" * 70 + ".invalid:80", "a b:80", "host:99999"):
                    error = (await client.get_lease(address, "z.1.1.0")).error
                    self.assertEqual(WorkerErrorKind.UNREACHED, error.kind, address)
            finally:
                await client.close()

        run_async(main())
