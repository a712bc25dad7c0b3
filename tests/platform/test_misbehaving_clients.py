"""Crowds of clients that misbehave neither end a program nor exhaust its limits.

The bounds are the limits that the settings of the programs state.
"""

from __future__ import annotations

import unittest
from functools import partialmethod

from tests.platform import crowds
from tests.platform.programs import HOST, PREFIX, Programs
from tests.processes import call, wait_for

MEMORY_MB = 128
"""Memory of a program; the smallest hosts have this."""

MAX_FDS = 96
"""Descriptors of a program in the tests of connections that stay open."""

ROOMY_FDS = 1024
"""Descriptors of a program in the tests of memory."""

CROWD = 120
"""Connections of a crowd."""

DESCRIPTORS_LEFT = 16
"""Descriptors that a program may hold above its start when a crowd has gone; it may
have opened connections of its own meanwhile."""


class Door:
    """An address of a program, and the request that a crowd makes there."""

    def __init__(self, name, role, method="GET", target="/", host="a.example"):
        self.name = name
        self.role = role
        self.method = method
        self.target = target
        self.host = host


JOB = f"{PREFIX}5c0e7a21d94b36f8"
HTTP_DOORS = {
    "callers": Door("front", "entry", "POST", JOB, HOST),
    "callers_without_route": Door("front", "entry", "POST", "/nowhere/at/all"),
    "ready": Door("ready", "entry", "GET", "/rattanwing/ready"),
    "entry_metrics": Door("metrics", "entry", "GET", "/metrics"),
    "control": Door("control", "agent", "PUT", "/rattanwing/instances/i-2"),
    "control_without_route": Door("control", "agent", "POST", "/nowhere"),
    "agent_metrics": Door("metrics", "agent", "GET", "/metrics"),
}
PEER_DOORS = {
    "entry_peers": Door("peers", "entry"),
    "agent_peers": Door("peers", "agent"),
}
HTTP_CROWDS = (
    crowds.bodies_in_one_piece,
    crowds.bodies_in_small_pieces,
    crowds.bodies_in_chunks,
    crowds.bodies_in_chunks_of_one_byte,
    crowds.bodies_far_over_the_limit,
    crowds.chunks_far_over_the_limit,
    crowds.bodies_of_many_fields,
    crowds.complete_bodies,
    crowds.many_headers,
    crowds.many_query_parameters,
    crowds.requests_ahead,
)
PEER_CROWDS = (
    crowds.messages_in_one_piece,
    crowds.messages_in_small_pieces,
    crowds.messages_far_over_the_limit,
    crowds.messages_of_many_fields,
)
OPEN_HTTP_CROWDS = (
    crowds.stops_in_the_head,
    crowds.stops_in_the_body,
    crowds.says_nothing,
    crowds.sends_the_head_slowly,
    crowds.sends_the_body_slowly,
    crowds.reads_slowly,
)
SLOW_CROWDS = (
    crowds.sends_the_head_slowly,
    crowds.sends_the_body_slowly,
    crowds.reads_slowly,
)
OPEN_PEER_CROWDS = (
    crowds.stops_in_the_greeting,
    crowds.stops_after_the_greeting,
    crowds.says_nothing,
)


class CrowdTests(unittest.TestCase):
    """Base class: the programs are started again after a test that failed."""

    max_fds = ROOMY_FDS
    programs = None

    @classmethod
    def tearDownClass(cls):
        cls.close_programs()

    @classmethod
    def close_programs(cls):
        if cls.programs is not None:
            cls.programs.close()
            cls.programs = None

    def check(self, door, crowd):
        """Send a crowd to a door; check the limits and that work goes on."""
        cls = type(self)
        if cls.programs is None:
            cls.programs = Programs(memory_mb=MEMORY_MB, max_fds=self.max_fds)
        try:
            self.check_crowd(cls.programs, door, crowd)
        except BaseException:
            self.close_programs()
            raise

    def check_crowd(self, programs, door, kind):
        role = door.role
        before = programs.count_descriptors(role)
        programs.reset_peak(role)
        address = programs.address(door.name, role)
        make = crowds.SlowCrowd if kind in SLOW_CROWDS else crowds.Crowd
        with make(address, [kind(door)] * CROWD) as crowd:
            crowd.send()
            self.assert_within_limits(programs, role)
            self.assert_served(programs, door)
            self.assert_within_limits(programs, role)
        wait_for(
            lambda: programs.count_descriptors(role) <= before + DESCRIPTORS_LEFT,
            "the descriptors of the crowd are closed",
        )
        self.assert_served(programs, door)
        self.assert_within_limits(programs, role)

    def assert_within_limits(self, programs, role):
        self.assertIsNone(programs.processes[role].poll(), "the process has ended")
        self.assertLessEqual(programs.peak_rss_mb(role), MEMORY_MB)
        self.assertLessEqual(programs.count_descriptors(role), self.max_fds)

    def assert_served(self, programs, door):
        """Check that an ordinary request is answered and a job is taken and run."""
        match door.name:
            case "metrics":
                address = programs.address("metrics", door.role)
                page = "GET", "/metrics"
                wait_for(lambda: call(address, *page)[0] == 200, "metrics are served")
            case "ready":
                wait_for(programs.is_ready, "the entry is ready")
            case "control":
                wait_for(lambda: programs.heartbeat() == 200, "a heartbeat is taken")
        wait_for(programs.submit_and_complete, "a job is taken")


class MemoryTests(CrowdTests):
    pass


class DescriptorTests(CrowdTests):
    max_fds = MAX_FDS


def add_tests(case, doors, kinds):
    """Add one test for each door and kind of crowd."""
    for name, door in doors.items():
        for crowd in kinds:
            test = partialmethod(case.check, door, crowd)
            setattr(case, f"test_{name}_{crowd.__name__}", test)


add_tests(MemoryTests, HTTP_DOORS, HTTP_CROWDS)
add_tests(MemoryTests, PEER_DOORS, PEER_CROWDS)
add_tests(DescriptorTests, HTTP_DOORS, OPEN_HTTP_CROWDS)
add_tests(DescriptorTests, PEER_DOORS, OPEN_PEER_CROWDS)


if __name__ == "__main__":
    unittest.main()
