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
from rattanwing.peer.frames import dial_peer


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
