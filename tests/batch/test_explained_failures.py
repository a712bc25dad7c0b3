from __future__ import annotations

import unittest
from unittest import mock

import msgspec
import trio

from rattanwing import events
from rattanwing.batch.messages import Answer
from rattanwing.batch.model import JobState, StepSpec
from rattanwing.explain import explain
from tests.batch.world import job, play


class ExplainedFailureTests(unittest.TestCase):
    """The log lines alone show the cause of each kind of failed request."""

    def play(self, scenario):
        lines = []

        def capture(event, **fields):
            value = {
                "time": f"{trio.current_time():012.4f}",
                "event": event.number,
                "text": event.text,
                **fields,
            }
            lines.append(msgspec.json.encode(value, enc_hook=str).decode())

        with mock.patch.object(events, "write", capture):
            play(scenario)
        return lines

    def explained(self, lines, job_id="job-1"):
        return [(line["event"], line) for line in explain(lines, job_id)]

    def test_refused_while_the_store_is_unreachable(self):
        async def scenario(world):
            await trio.sleep(2)
            world.store.disconnected_clients.update(world.entry_names)
            await trio.sleep(0.5)
            entry = next(iter(world.entries.values()))
            answer = await entry.local_service.submit(job(), 2.0)
            self.assertIs(answer, Answer.REFUSED)

        found = dict(self.explained(self.play(scenario)))
        self.assertEqual(found[events.JOB_REFUSED.number]["reason"], "not-stored")

    def test_late_because_a_host_was_lost(self):
        async def scenario(world):
            await trio.sleep(2)
            world.durations = lambda _task: 2.0
            await world.submit(job(steps=(StepSpec(4, cpu=3000),)))
            await trio.sleep(0.5)
            world.kill("agent-0")
            done = await world.wait_for_state("job-1", JobState.COMPLETED)
            self.assertTrue(done)

        found = self.explained(self.play(scenario))
        lost = [line for number, line in found if number == events.RUN_LOST.number]
        self.assertEqual([line["reason"] for line in lost], ["lapsed"])
        silent = [
            float(line["time"])
            for number, line in found
            if number == events.PEER_LOST.number and line["peer"] == "agent-0"
        ]
        second_attempts = [
            line
            for number, line in found
            if number == events.RUN_PLACED.number and line["attempt"] == 2
        ]
        self.assertLess(silent[0], float(lost[0]["time"]))
        self.assertEqual([line["task"] for line in second_attempts], [lost[0]["task"]])

    def test_outcome_unknown_while_the_store_loses_answers(self):
        async def scenario(world):
            await trio.sleep(2)
            world.store.lose_answers = 50
            world.store.late_append_delay_s = 30.0
            entry = next(iter(world.entries.values()))
            answer = await entry.local_service.submit(job(), 1.0)
            self.assertIs(answer, Answer.UNKNOWN_OUTCOME)

        found = dict(self.explained(self.play(scenario)))
        self.assertEqual(found[events.JOB_OUTCOME_UNKNOWN.number]["waited_s"], 1.0)
