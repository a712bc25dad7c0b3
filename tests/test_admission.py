"""Replays crowds against the decision about who is closed, without a network."""

from __future__ import annotations

import unittest

from rattanwing.util.admission import (
    CONNECTION_BYTES,
    IDLE_TIME_S,
    MIN_PACE_BYTES_S,
    START_TIME_S,
    AddressGroup,
    Admission,
    Cause,
    Limits,
    Phase,
    make_limits,
)

MIB = 1024 * 1024
PIECE = 16 * 1024


class Crowd:
    """Connections and, by name, the causes for which they were closed."""

    def __init__(self, budget_bytes=16 * MIB, max_connections=100):
        self.admission = Admission(Limits(budget_bytes, max_connections))
        self.closed = {}

    def open(self, name, now=0.0, group=AddressGroup.REQUESTS):
        return self.admission.add(
            group, lambda cause: self.closed.setdefault(name, cause), now
        )

    def read(self, client, size, now):
        if client.phase is Phase.IDLE:
            client.enter(Phase.READING, now)
        client.moved += size
        self.admission.charge(client, size, now)

    def finish(self, client, now):
        self.admission.release(client)
        client.finished += 1
        client.enter(Phase.IDLE, now)


class BudgetTests(unittest.TestCase):
    def test_bodies_that_never_end_are_closed_and_ordinary_clients_stay(self):
        crowd = Crowd()
        senders = [crowd.open(n) for n in range(50)]
        ordinary = crowd.open("ordinary")
        for step in range(64):
            now = step * 0.1
            for sender in senders:
                if not sender.closed:
                    crowd.read(sender, PIECE, now)
            crowd.read(ordinary, 600, now)
            crowd.finish(ordinary, now)
            budget = crowd.admission.limits.budget_bytes
            self.assertLessEqual(crowd.admission.held_bytes, budget)
        self.assertNotIn("ordinary", crowd.closed)
        self.assertEqual(set(crowd.closed.values()), {Cause.MEMORY})

    def test_who_holds_most_for_longest_is_closed_first(self):
        crowd = Crowd(budget_bytes=4 * MIB)
        crowd.read(crowd.open("old"), 5 * MIB // 4, 0.0)
        crowd.read(crowd.open("small"), PIECE, 0.0)
        crowd.read(crowd.open("new"), 3 * MIB // 4, 9.0)
        crowd.read(crowd.open("large"), 2 * MIB, 10.0)
        self.assertEqual(crowd.closed, {"old": Cause.MEMORY})

    def test_clients_that_finish_requests_are_closed_later(self):
        crowd = Crowd(budget_bytes=2 * MIB)
        finisher = crowd.open("finisher")
        for _ in range(3):
            crowd.read(finisher, PIECE, 0.0)
            crowd.finish(finisher, 0.0)
        crowd.read(finisher, MIB, 0.0)
        crowd.read(crowd.open("newcomer"), MIB, 0.0)
        self.assertEqual(crowd.closed, {"newcomer": Cause.MEMORY})

    def test_requests_that_are_carried_out_are_never_closed(self):
        crowd = Crowd(budget_bytes=2 * MIB)
        running = crowd.open("running")
        crowd.read(running, 2 * MIB - 2 * CONNECTION_BYTES, 0.0)
        running.enter(Phase.RUNNING, 0.0)
        crowd.read(crowd.open("next"), MIB, 5.0)
        crowd.admission.close_expired(1000.0)
        self.assertEqual(crowd.closed, {"next": Cause.MEMORY})

    def test_idle_connections_are_closed_last(self):
        crowd = Crowd(budget_bytes=4 * MIB)
        for n in range(40):
            crowd.open(n)
        crowd.read(crowd.open("sender"), 4 * MIB - 200 * 1024, 70.0)
        self.assertEqual(crowd.closed, {"sender": Cause.MEMORY})

    def test_requests_that_are_carried_out_leave_room_for_idle_connections(self):
        crowd = Crowd(budget_bytes=2 * MIB)
        running = crowd.open("running")
        crowd.read(running, 2 * MIB - 21 * CONNECTION_BYTES, 0.0)
        running.enter(Phase.RUNNING, 0.0)
        for n in range(20):
            crowd.open(n, 1.0)
        self.assertEqual(crowd.closed, {})
        self.assertIsNotNone(crowd.open("readiness", 2.0, AddressGroup.READINESS))
        self.assertEqual(len(crowd.closed), 1)

    def test_unread_answers_count(self):
        crowd = Crowd(budget_bytes=2 * MIB)
        reader = crowd.open("reader")
        reader.enter(Phase.RUNNING, 0.0)
        crowd.admission.charge(reader, MIB, 0.0)
        reader.enter(Phase.SENDING, 0.0, MIB)
        crowd.read(crowd.open("sender"), MIB, 3.0)
        self.assertEqual(crowd.closed, {"reader": Cause.MEMORY})

    def test_nothing_is_held_when_all_have_gone(self):
        crowd = Crowd(budget_bytes=2 * MIB)
        clients = [crowd.open(n) for n in range(40)]
        for client in clients:
            if not client.closed:
                crowd.read(client, MIB // 8, 0.0)
            crowd.admission.charge(client, MIB // 8, 0.0)
            crowd.admission.release(client)
        for client in clients:
            crowd.admission.remove(client)
            crowd.admission.remove(client)
        self.assertEqual(crowd.admission.held_bytes, 0)


class ConnectionTests(unittest.TestCase):
    def test_newcomers_replace_those_who_have_finished_nothing(self):
        crowd = Crowd(max_connections=16)
        finisher = crowd.open("finisher", 0.0)
        crowd.finish(finisher, 0.0)
        for n in range(1, 200):
            crowd.open(n, float(n))
        limit = crowd.admission.limits.connections_at(AddressGroup.REQUESTS)
        self.assertEqual(len(crowd.admission.clients[AddressGroup.REQUESTS]), limit)
        self.assertNotIn("finisher", crowd.closed)
        self.assertNotIn(199, crowd.closed)
        self.assertEqual(crowd.closed[1], Cause.CONNECTIONS)

    def test_crowd_at_one_door_leaves_room_at_the_others(self):
        crowd = Crowd(max_connections=16)
        for n in range(50):
            crowd.open(n)
        before = dict(crowd.closed)
        for group in (AddressGroup.READINESS, AddressGroup.PEERS, AddressGroup.METRICS):
            self.assertIsNotNone(crowd.open(group, 0.0, group))
        self.assertEqual(crowd.closed, before)

    def test_no_connection_is_taken_while_all_requests_are_carried_out(self):
        crowd = Crowd(max_connections=16)
        for n in range(crowd.admission.limits.connections_at(AddressGroup.REQUESTS)):
            crowd.open(n).enter(Phase.RUNNING, 0.0)
        self.assertIsNone(crowd.open("next"))
        self.assertEqual(crowd.closed, {})


class PaceTests(unittest.TestCase):
    def test_slow_clients_are_closed_and_others_have_the_time_that_they_need(self):
        crowd = Crowd()
        slow, steady, waits = (crowd.open(n) for n in ("slow", "steady", "waits"))
        waits.enter(Phase.RUNNING, 0.0)
        for second in range(40):
            now = float(second)
            for client, size in ((slow, 10), (steady, 2 * MIN_PACE_BYTES_S)):
                if not client.closed:
                    crowd.read(client, size, now)
            crowd.admission.close_expired(now)
        self.assertEqual(crowd.closed, {"slow": Cause.SLOW})

    def test_outage_of_a_link_closes_nothing(self):
        crowd = Crowd()
        client = crowd.open("client")
        crowd.read(client, 100, 0.0)
        crowd.admission.close_expired(START_TIME_S - 1)
        self.assertEqual(crowd.closed, {})

    def test_idle_connections_are_closed_late(self):
        crowd = Crowd()
        crowd.finish(crowd.open("client"), 0.0)
        crowd.admission.close_expired(IDLE_TIME_S)
        self.assertEqual(crowd.closed, {})
        crowd.admission.close_expired(IDLE_TIME_S + 1)
        self.assertEqual(crowd.closed, {"client": Cause.IDLE})


class LimitsTests(unittest.TestCase):
    def test_limits_follow_the_settings(self):
        limits = make_limits(160, 4100)
        self.assertEqual(limits.budget_bytes, 32 * MIB)
        self.assertLess(limits.max_connections, 4100)
        self.assertGreater(make_limits(0, 4100).budget_bytes, 0)
        for max_fds in (60, 96, 1024, 4100):
            found = make_limits(128, max_fds)
            opened = sum(found.connections_at(group) for group in AddressGroup)
            self.assertLess(opened, max_fds)
