from __future__ import annotations

import unittest
from random import Random

import trio
import trio.testing

from rattanwing.batch import records
from rattanwing.batch.cluster import ClusterState
from rattanwing.batch.connections import AgentConnections
from rattanwing.batch.ports import StoredRecord
from rattanwing.batch.replica import Directory
from rattanwing.errors import PeerLostError
from rattanwing.peer.frames import dial_peer
from rattanwing.peer.stream import memory_stream_pair


class AddressTests(unittest.TestCase):
    def test_owner_goes_on_when_it_reads_an_invalid_address(self):
        """The error of the first dial ended the process of the owner."""
        directory = Directory()
        address = records.encode(records.AgentAddress("odd", "10.0.0.1:70000", "i"))
        directory.apply(StoredRecord("agent/odd", address, 0))

        async def main():
            cluster = ClusterState(0.0)
            connections = AgentConnections(
                "entry-1",
                1,
                cluster,
                directory,
                None,
                trio.current_time,
                Random(1),
                dial_peer,
                lambda *_message: None,
            )
            async with trio.open_nursery() as nursery:
                connections.nursery = nursery
                connections.keep_connected("odd")
                await trio.sleep(3)
                nursery.cancel_scope.cancel()
            return cluster

        clock = trio.testing.MockClock(autojump_threshold=0)
        cluster = trio.run(main, clock=clock)
        self.assertFalse(cluster.hosts["odd"].connected)


class RestartTests(unittest.TestCase):
    """Agents start one after the other, after a loss of power."""

    def setUp(self):
        self.directory = Directory()
        self.up = set()
        self.dialled_at = []

    async def dial(self, address, handler):
        """Wait for a packet to be repeated, or open a stream to an agent that is up."""
        self.dialled_at.append(trio.current_time())
        if address not in self.up:
            await trio.sleep(1.0)
            raise PeerLostError("no connection")
        near_side, _far_side = memory_stream_pair()
        await handler(near_side)

    def write_address(self, incarnation):
        address = records.AgentAddress("late", "10.0.0.1:7000", incarnation)
        value = records.encode(address)
        self.directory.apply(StoredRecord("agent/late", value, 0))

    def play(self, scenario):
        async def main():
            connections = AgentConnections(
                "entry-1",
                1,
                ClusterState(0.0),
                self.directory,
                None,
                trio.current_time,
                Random(1),
                self.dial,
                lambda *_message: None,
            )
            async with trio.open_nursery() as nursery:
                connections.nursery = nursery
                self.directory.on_agent = connections.keep_connected
                await scenario(connections)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_agent_that_has_started_is_dialled_at_once(self):
        async def scenario(connections):
            self.write_address("i-1")
            await trio.sleep(0.1)
            self.up.add("10.0.0.1:7000")
            self.write_address("i-2")
            await trio.sleep(0.01)
            self.assertIn("late", connections.sessions)

        self.play(scenario)

    def test_known_address_that_is_read_again_changes_nothing(self):
        async def scenario(_connections):
            self.write_address("i-1")
            for _ in range(5):
                await trio.sleep(0.1)
                self.write_address("i-1")
            self.assertEqual(len(self.dialled_at), 1)

        self.play(scenario)

    def test_agent_with_a_stream_is_not_dialled_again(self):
        async def scenario(connections):
            self.up.add("10.0.0.1:7000")
            self.write_address("i-1")
            await trio.sleep(0.1)
            session = connections.sessions["late"]
            self.write_address("i-2")
            await trio.sleep(0.1)
            self.assertIs(connections.sessions["late"], session)
            self.assertEqual(len(self.dialled_at), 1)

        self.play(scenario)
