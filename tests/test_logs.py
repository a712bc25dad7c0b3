from __future__ import annotations

import os
import time
import unittest

import logbook
import msgspec

from rattanwing import events
from rattanwing.logs import BoundedHandler
from rattanwing.util.log_output import LINES_PER_SECOND, LineLimiter, NonBlockingOutput


class LimiterTests(unittest.TestCase):
    def test_a_flood_of_one_event_is_cut_and_counted(self):
        limiter = LineLimiter()
        allowed = sum(limiter.allows(540, 7.5) for _ in range(LINES_PER_SECOND + 90))
        self.assertEqual(allowed, LINES_PER_SECOND)
        self.assertTrue(limiter.allows(541, 7.6))
        self.assertEqual(limiter.take_suppressed(7.9), {})
        self.assertEqual(limiter.take_suppressed(8.1), {540: 90})
        self.assertEqual(limiter.take_suppressed(8.2), {})
        self.assertTrue(limiter.allows(540, 8.3))


class OutputTests(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def test_a_pipe_that_nobody_reads_blocks_no_writer(self):
        output = NonBlockingOutput(self.writer)
        began = time.monotonic()
        for _ in range(2_000):
            output.write(b"x" * 999 + b"\n")
        self.assertLess(time.monotonic() - began, 5)
        self.assertGreater(output.dropped, 1_000)

    def test_lines_stay_whole_when_the_reader_comes_late(self):
        output = NonBlockingOutput(self.writer)
        for number in range(200):
            output.write(b"%0998d\n" % number)
        read = b""
        while output.pending or len(read) < 200 * 999:
            read += os.read(self.reader, 65536)
            output.flush()
        lines = read.splitlines()
        self.assertEqual([int(line) for line in lines], list(range(200)))

    def test_lines_left_out_are_reported(self):
        handler = BoundedHandler(self.writer, "entry-1", "info")
        handler.limiter.suppressed = {540: 7}
        handler.output.dropped = 3
        with handler.applicationbound():
            events.write(events.JOB_STORED, job="job-1")
        lines = os.read(self.reader, 65536).splitlines()
        report, line = (msgspec.json.decode(line) for line in lines)
        self.assertEqual(report["event"], events.LOG_LINES_DROPPED.number)
        self.assertEqual(report["by_event"], {"540": 7})
        self.assertEqual(report["unread"], 3)
        self.assertEqual(line["job"], "job-1")
        self.assertEqual(line["process"], "entry-1")
        self.assertEqual(line["level"], logbook.get_level_name(logbook.INFO).lower())


class CountTests(unittest.TestCase):
    def test_events_are_counted_by_outcome(self):
        counts = events.EventCounts()
        counts.add(events.RUN_ENDED, {"ending": "done", "task": "t"})
        counts.add(events.RUN_ENDED, {"ending": "done", "task": "u"})
        counts.add(events.JOB_STORED, {})
        number = events.RUN_ENDED.number
        self.assertEqual(counts.outcomes[number, "done"], 2)
        self.assertEqual(counts.outcomes[events.JOB_STORED.number, ""], 1)
