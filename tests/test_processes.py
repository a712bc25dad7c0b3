"""Checks the deployment of separate processes itself."""

from __future__ import annotations

import signal
import socket
import threading
import unittest

from rattanwing.util.address import split_address
from tests.processes import Deployment

EXECUTOR_PAUSE_S = 4.0
"""Longer than the default timeout of a request."""


class LateExecutorDeployment(Deployment):
    """A deployment whose executors get no processor time when they start."""

    def start(self, name):
        super().start(name)
        if name.startswith("executor"):
            self.signal(name, signal.SIGSTOP)
            timer = threading.Timer(
                EXECUTOR_PAUSE_S, self.signal, [name, signal.SIGCONT]
            )
            timer.start()


class AddressTests(unittest.TestCase):
    def addresses(self, deployment):
        pairs = [*deployment.entries.values(), *deployment.agents.values()]
        return [deployment.log, *(address for pair in pairs for address in pair)]

    def is_free(self, address):
        with socket.socket() as probe:
            try:
                probe.bind(split_address(address))
            except OSError:
                return False
        return True

    def test_no_address_is_given_twice(self):
        deployment = Deployment(entries=100, agents=100)
        self.addCleanup(deployment.close)
        addresses = self.addresses(deployment)
        self.assertEqual(len(set(addresses)), len(addresses))

    def test_no_other_process_can_take_an_address(self):
        deployment = Deployment(entries=2, agents=3)
        self.addCleanup(deployment.close)
        addresses = self.addresses(deployment)
        self.assertEqual([a for a in addresses if self.is_free(a)], [])
        deployment.close()
        self.assertEqual([a for a in addresses if not self.is_free(a)], [])


class StartTests(unittest.TestCase):
    def test_deployment_is_ready_once_its_executors_are(self):
        deployment = LateExecutorDeployment(entries=1, agents=1)
        self.addCleanup(deployment.close)
        deployment.start_all()
        status, headers, body = deployment.call(
            "entry-1", "GET", "/services/collections/y"
        )
        verdict = headers["rattanwing-verdict"]
        self.assertEqual((status, verdict), (200, "ran"), body)

    def test_process_ends_if_its_address_is_taken(self):
        deployment = Deployment(entries=1, agents=1)
        self.addCleanup(deployment.close)
        for name, address in (
            ("entry-1", deployment.entries["entry-1"][0]),
            ("executor-1", deployment.agents["agent-1"][0]),
        ):
            with self.subTest(name), socket.socket() as other:
                other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                other.bind(split_address(address))
                other.listen()
                deployment.start(name)
                self.assertEqual(deployment.wait(name), 1)
                self.assertIn("already in use", deployment.log_text(name))
