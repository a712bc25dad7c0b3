"""Checks the deployment of separate processes itself."""

from __future__ import annotations

import signal
import socket
import threading
import time
import unittest
from unittest import mock

from rattanwing.util.address import split_address
from tests import processes
from tests.processes import Deployment

PAUSE_S = 4.0
"""Seconds for which a process stands still; longer than the default timeout of a
request, and than the silence after which a peer is given up."""

SHORT_WAIT_LIMIT_S = 0.2
"""Limit of a wait that is to fail, in seconds."""


class LateExecutorDeployment(Deployment):
    """A deployment whose executors get no processor time when they start."""

    def start(self, name):
        super().start(name)
        if name.startswith("executor"):
            self.signal(name, signal.SIGSTOP)
            timer = threading.Timer(PAUSE_S, self.signal, [name, signal.SIGCONT])
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

    def test_deployment_gets_ready_though_a_process_stands_still_meanwhile(self):
        for victim in ("log", "entry-1", "agent-1"):
            with self.subTest(victim):
                deployment = Deployment(entries=1, agents=1)
                self.addCleanup(deployment.close)
                for name in deployment.settings:
                    deployment.start(name)
                deployment.wait_for(
                    lambda d=deployment, v=victim: d.log_text(v), f"{victim} has begun"
                )
                deployment.signal(victim, signal.SIGSTOP)
                time.sleep(PAUSE_S)
                deployment.signal(victim, signal.SIGCONT)
                deployment.wait_until_ready("entry-1")
                deployment.close()

    def take(self, address):
        """Listen at an address, as another process would."""
        other = socket.socket()
        self.addCleanup(other.close)
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind(split_address(address))
        other.listen()

    def test_failed_start_tells_which_process_has_ended_and_why(self):
        deployment = Deployment(entries=1, agents=1)
        self.addCleanup(deployment.close)
        self.take(deployment.entries["entry-1"][1])
        deployment.start("entry-1")
        deployment.wait("entry-1")
        deployment.start("agent-1")
        with (
            mock.patch.object(processes, "WAIT_LIMIT_S", SHORT_WAIT_LIMIT_S),
            self.assertRaises(AssertionError) as caught,
        ):
            deployment.wait_until_connected("entry-1", 1)
        text = str(caught.exception)
        for part in ("entry-1 ended with 1", "already in use", "agent-1 runs"):
            self.assertIn(part, text)

    def test_process_ends_if_its_address_is_taken(self):
        deployment = Deployment(entries=1, agents=1)
        self.addCleanup(deployment.close)
        for name, address in (
            ("entry-1", deployment.entries["entry-1"][0]),
            ("executor-1", deployment.agents["agent-1"][0]),
        ):
            with self.subTest(name):
                self.take(address)
                deployment.start(name)
                self.assertEqual(deployment.wait(name), 1)
                self.assertIn("already in use", deployment.log_text(name))
