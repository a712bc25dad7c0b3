from __future__ import annotations

import unittest

import msgspec

from rattanwing import events
from rattanwing.explain import explain, parse_lines, to_text

JOB = "5c0e7a21d94b36f8"


def line(second, event, process="entry-1", **fields):
    value = {
        "time": f"2026-12-04T10:00:{second:06.3f}",
        "level": "info",
        "event": event.number,
        "text": event.text,
        "process": process,
        **fields,
    }
    return f"  12.3 {process} " + msgspec.json.encode(value).decode()


class ExplainTests(unittest.TestCase):
    """The lines found for a job are enough to explain why it failed or was late."""

    def numbers(self, lines):
        return [found["event"] for found in explain(lines, JOB)]

    def test_refused_under_an_outage(self):
        lines = [
            line(3, events.JOB_REFUSED, job=JOB, reason="store-away"),
            line(1, events.LOG_UNAVAILABLE, topic="work", reason="status 503"),
            line(2, events.JOB_REFUSED, job="another", reason="store-away"),
            line(3, events.LOG_UNAVAILABLE, topic="work", reason="status 503"),
        ]
        found = explain(lines, JOB)
        self.assertEqual(found[0]["reason"], "store-away")
        self.assertIn(events.LOG_UNAVAILABLE.number, self.numbers(lines))

    def test_late_because_its_task_was_moved(self):
        task = f"{JOB}.0.0.1"
        lines = [
            line(1, events.JOB_STORED, job=JOB),
            line(1.1, events.RUN_PLACED, task=task, attempt=1, host="agent-3"),
            line(4, events.PEER_LOST, peer="agent-3"),
            line(4, events.PEER_LOST, peer="agent-5"),
            line(13, events.RUN_LOST, task=task, attempt=1, host="agent-3"),
            line(13.1, events.RUN_PLACED, task=task, attempt=2, host="agent-1"),
            line(15, events.RUN_ENDED, task=task, attempt=2, host="agent-1"),
            line(15.1, events.JOB_FINISHED, job=JOB, state="completed"),
        ]
        wanted = [
            events.JOB_STORED.number,
            events.RUN_PLACED.number,
            events.PEER_LOST.number,
            events.RUN_LOST.number,
            events.RUN_PLACED.number,
            events.RUN_ENDED.number,
            events.JOB_FINISHED.number,
        ]
        self.assertEqual(self.numbers(reversed(lines)), wanted)

    def test_unknown_while_the_store_lost_answers(self):
        lines = [
            line(1, events.LOG_UNAVAILABLE, topic="work", reason="answer lost"),
            line(3, events.JOB_OUTCOME_UNKNOWN, job=JOB, waited_s=2.7),
            line(4, events.JOB_STORED, process="entry-2", job=JOB),
        ]
        self.assertEqual(
            self.numbers(lines),
            [events.JOB_OUTCOME_UNKNOWN.number, events.JOB_STORED.number],
        )

    def test_lines_of_others_are_left_out(self):
        lines = ["", "no json", "{", '{"event":1}', "[1]", line(1, events.LISTENING)]
        self.assertEqual(explain(lines, JOB), [])
        self.assertEqual(len(parse_lines(lines)), 1)

    def test_text_names_time_process_and_inputs(self):
        found = explain([line(1, events.JOB_STORED, job=JOB, stored_s=0.02)], JOB)
        text = to_text(found[0])
        self.assertTrue(text.startswith("2026-12-04T10:00:01.000 entry-1 [530]"))
        self.assertIn("stored_s=0.02", text)
