import testtools
from pydantic import ValidationError

from agateferry_service.endpoints.app import AnnounceBody

BODY = {
    "incarnation": "b1",
    "zone": "zone-a",
    "rack": "r1",
    "address": "127.0.0.1:9101",
    "accelerators": 8,
    "cpu_cores": 64,
    "memory_mb": 262_144,
    "slots": 8,
}


class AnnounceBodyTests(testtools.TestCase):
    """An entry of another writer was taken for a worker, and orders to it raised an error."""

    def test_an_address_that_no_worker_can_have_is_rejected(self):
        for address in ("host:99999", "host:0", "host:-1", "host", ":80", "a b:80", "a@b:80"):
            self.assertRaises(ValidationError, AnnounceBody, **BODY | {"address": address})
        for address in ("..:80", "[::1", "host:80/x", "host:\u0661"):
            self.assertRaises(ValidationError, AnnounceBody, **BODY | {"address": address})
        for address in ("127.0.0.1:1", "worker-7.zone-a.example:65535", "[::1]:80"):
            self.assertEqual(address, AnnounceBody(**BODY | {"address": address}).address)

    def test_a_checkpoint_that_64_bits_do_not_hold_is_rejected(self):
        lease = {"lease": "z.1.1.0", "state": "running", "checkpoint_step": 10**30}
        self.assertRaises(ValidationError, AnnounceBody, **BODY | {"leases": [lease]})
