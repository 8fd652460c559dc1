import socket
from unittest import mock

import testtools

from agateferry_core.support import free_ports


class FreePortsTests(testtools.TestCase):
    """Two ports that were drawn one after the other were equal, and a host refused its settings."""

    def test_ports_are_held_until_all_are_drawn(self):
        closed = []
        getsockname = socket.socket.getsockname

        def while_open(sock):
            closed.append(sock.fileno() < 0)
            return getsockname(sock)

        with mock.patch.object(socket.socket, "getsockname", while_open):
            ports = free_ports(4)
        self.assertEqual([False] * 4, closed)
        self.assertEqual(4, len(set(ports)))
