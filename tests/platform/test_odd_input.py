"""Odd input from other writers is refused and does not stop the process."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec
import trio
import trio.testing

from rattanwing import events
from rattanwing.batch import messages
from rattanwing.batch.agent import BatchAgent, OwnerSession
from rattanwing.batch.configuration import CurrentConfiguration
from rattanwing.batch.model import check_job
from rattanwing.batch.ports import (
    ExecutorView,
    OrderOutcome,
    OrderResult,
    PollResult,
    StoredRecord,
)
from rattanwing.batch.records import encode as encode_record
from rattanwing.errors import LogUnavailableError, SettingsError
from rattanwing.platform.callers import CallerRoutes, WireStep
from rattanwing.platform.executor import (
    AnnouncementRoutes,
    ExecutorClient,
    parse_order_answer,
)
from rattanwing.platform.main import reload_settings
from rattanwing.platform.operator import OperatorRecords
from rattanwing.platform.settings import parse_settings
from rattanwing.util.http_client import HttpCallError, HttpClient
from rattanwing.util.http_server import call_handler
from rattanwing.verdict import Verdict
from tests.platform.test_adapter import (
    ANNOUNCEMENT,
    CONFIG,
    JOB_ID,
    SETTINGS,
    FakeHttp,
    FakeService,
    request,
)
from tests.platform.test_store import append, store_with

DEEP = b"[" * 100_000 + b"]" * 100_000


def with_deep_field(value):
    """Return a JSON object with one more, very deeply nested field."""
    return msgspec.json.encode(value)[:-1] + b',"odd":' + DEEP + b"}"


def make_client(status, body):
    """Return the client of an executor that gives a preset answer."""
    view = ExecutorView("i-1@1", "i-1", "svc", "10.1.0.14:8165", "a", [], "", 1, 1, 0)
    client = ExecutorClient(view)
    client.client = FakeHttp(status, body)
    return client


def make_hold(**changes):
    """Return the body of an executor's answer to a poll."""
    return msgspec.json.encode(
        {"clock_ms": 482113, "running": [], "ended": [], **changes}
    )


class PresencePort:
    """Answers polls as the executor that is there does."""

    def __init__(self, run, view):
        self.run = run
        self.view = view

    async def poll(self, *_call):
        await trio.lowlevel.checkpoint()
        if not self.run.there:
            raise HttpCallError(Verdict.NOT_RUN, "no connection")
        if self.run.there.partition("@")[0] != self.view.executor_id:
            return OrderResult(OrderOutcome.OTHER_INCARNATION)
        return PollResult(1, [], [], self.run.there)


class AnnouncementRun:
    """Passes announcements to an agent and records the events.

    :param there: the incarnation that answers polls; empty if none does.
    """

    def __init__(self):
        self.numbers = []
        self.there = ""
        self.agent = BatchAgent(lambda: 0.0, lambda view: PresencePort(self, view))
        self.routes = AnnouncementRoutes(self.agent, lambda: NOW_MS)

    def send(self, body, executor_id="i-1"):
        made = request("PUT", "/x", body, match={"executor_id": executor_id})
        with mock.patch.object(
            events, "write", lambda event, **_fields: self.numbers.append(event.number)
        ):
            return trio.run(self.handle, made).status

    async def handle(self, made):
        """Handle an announcement, and the first answers to the polls that follow."""
        async with trio.open_nursery() as self.agent.nursery:
            response = await self.routes.handle_announcement(made)
            await trio.testing.wait_all_tasks_blocked()
            self.agent.nursery.cancel_scope.cancel()
        return response

    def announce(self, executor_id="i-1", **changes):
        body = msgspec.json.encode({**ANNOUNCEMENT, **changes})
        return self.send(body, executor_id)

    def leave(self, executor_id):
        made = request("DELETE", "/x", b"", match={"executor_id": executor_id})
        trio.run(self.routes.handle_departure, made)


class RecordingSession:
    """Encodes the agent's messages, as a stream to the owner does."""

    def send(self, message):
        messages.encode(message)


def run_agent(body, hold_answer, connect=None):
    """Announce an executor and run its agent for some seconds of virtual time.

    :param body: the announcement.
    :param hold_answer: the executor's answer to each poll.
    :raises BaseException: any error that would have ended the agent's process.
    """

    async def main():
        agent = BatchAgent(
            trio.current_time, connect or (lambda _view: make_client(200, hold_answer))
        )
        owner = agent.owner = OwnerSession(1, 1)
        owner.session = RecordingSession()
        made = request("PUT", "/x", body, match={"executor_id": "i-1"})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(agent.run)
            await trio.sleep(0.1)
            await AnnouncementRoutes(agent).handle_announcement(made)
            await trio.sleep(3)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class EncodingService(FakeService):
    """Encodes each job, as the store's client does."""

    async def submit(self, spec, wait_s):
        check_job(spec)
        encode_record(spec)
        with trio.move_on_after(wait_s):
            return self.answer


def submit(body, deadline_ms=b"2000", config=CONFIG):
    """Submit a job and return the status."""
    configuration = CurrentConfiguration()
    records = OperatorRecords(configuration, lambda: None)
    records.apply(StoredRecord("config", msgspec.json.encode(config), 1))
    routes = CallerRoutes(EncodingService(), configuration)
    headers = [(b"host", b"h.example"), (b"rattanwing-deadline-ms", deadline_ms)]
    made = request("POST", f"/q/{JOB_ID}", body, headers)
    return trio.run(call_handler, routes.handle, made).status


class DeeplyNestedInputTests(unittest.TestCase):
    """The decoders raise RecursionError for it, which ended the process."""

    def test_announcement_is_refused_as_malformed(self):
        run = AnnouncementRun()
        self.assertEqual(run.send(with_deep_field(ANNOUNCEMENT)), 400)
        self.assertEqual(run.numbers, [events.ANNOUNCEMENT_MALFORMED.number])
        self.assertIsNone(run.agent.executor)

    def test_answers_of_an_executor_raise_a_call_error(self):
        hold = with_deep_field({"clock_ms": 1, "running": [], "ended": []})
        in_row = b'{"clock_ms":1,"running":[["t",1,' + DEEP + b',1]],"ended":[]}'
        for body in (hold, in_row):
            with self.assertRaises(HttpCallError):
                trio.run(make_client(200, body).poll, 7, 57, None, 0.0)
        with self.assertRaises(HttpCallError):
            parse_order_answer(409, with_deep_field({"reason": "old"}))

    def test_agent_polls_on_after_such_an_answer(self):
        hold = with_deep_field({"clock_ms": 1, "running": [], "ended": []})
        run_agent(msgspec.json.encode(ANNOUNCEMENT), hold)

    def test_answers_of_the_store_count_as_no_answer(self):
        page = with_deep_field({"items": [], "end": 0})
        with self.assertRaises(LogUnavailableError):
            trio.run(store_with(200, page).list_newest, "work", "")
        with self.assertRaises(LogUnavailableError):
            trio.run(store_with(410, with_deep_field({"first": 1})).read, "w", 0, 0.0)

    def test_configuration_changes_nothing(self):
        configuration = CurrentConfiguration()
        records = OperatorRecords(configuration, lambda: None)
        records.apply(StoredRecord("config", with_deep_field(CONFIG), 1))
        self.assertEqual(configuration.version, 0)

    def test_job_is_refused_as_malformed(self):
        self.assertEqual(submit(with_deep_field({"steps": [{}]})), 400)

    def test_settings_are_refused(self):
        odd = b"odd = " + b"[" * 10_000 + b"]" * 10_000
        with self.assertRaises(SettingsError):
            parse_settings(odd + SETTINGS)

    def test_json_answer_raises_a_call_error(self):
        client = HttpClient("127.0.0.1:1", 1)
        fake = FakeHttp(200, DEEP)
        with (
            mock.patch.object(HttpClient, "call", fake.call),
            self.assertRaises(HttpCallError),
        ):
            trio.run(client.call_json, "GET", "/", {}, 1.0)


class UnusableAddressTests(unittest.TestCase):
    """The client raised ValueError when it connected, which ended the agent."""

    ADDRESSES = (
        "",
        ":8165",
        "10.1.0.14",
        "10.1.0.14:",
        "10.1.0.14:0",
        "10.1.0.14:-1",
        "10.1.0.14:70000",
        "10.1.0.14:" + "9" * 5000,
        "10.1.0.14:8165\r\nx: y",
        "10.1.0.14:\u0663\u0663",
        "10.1.0.14:\u00b2",
        "10.1.0.300:8165",
        "010.1.0.14:8165",
        "0.0.0.0:8165",
        "224.0.0.1:8165",
        "[::1]:8165",
        "executor-1.example:8165",
        "\u00e4:8165",
    )

    def test_announcement_is_refused_as_malformed(self):
        for address in self.ADDRESSES:
            run = AnnouncementRun()
            with self.subTest(address=address[:40]):
                self.assertEqual(run.announce(addr=address), 400)
                self.assertEqual(run.numbers, [events.ANNOUNCEMENT_MALFORMED.number])
                self.assertIsNone(run.agent.executor)

    def test_announced_executor_stays_in_use(self):
        run = AnnouncementRun()
        run.announce()
        run.announce("i-2", addr="10.1.0.14:70000", born=2000)
        run.announce(addr="10.1.0.14:70000", seq=99)
        self.assertEqual(run.agent.executor.view.incarnation, "i-1@1000")
        self.assertEqual(run.announce(seq=5, state="draining"), 200)
        self.assertTrue(run.agent.executor.view.draining)

    def test_agent_survives_it(self):
        body = msgspec.json.encode({**ANNOUNCEMENT, "addr": "10.1.0.14:70000"})
        run_agent(body, b"", ExecutorClient)


HUGE = 10**30
NUMBERS = ("seq", "born", "slots", "cold_left_ms", "clock_ms")
NOW_MS = 1_764_000_000_000


class NumberTests(unittest.TestCase):
    """Numbers of more than 64 bits could not be sent to the owner."""

    def test_announcement_with_an_odd_number_is_refused_as_malformed(self):
        capacity = ANNOUNCEMENT["capacity"]
        for changes in (
            {"capacity": {**capacity, "cpu": HUGE}},
            {"capacity": {**capacity, "mem_mb": HUGE}},
            {"capacity": {**capacity, "gpu": HUGE}},
            {"capacity": {**capacity, "cpu": -1}},
            {"capacity": {**capacity, "cpu": 16000.0}},
            {"capacity": {**capacity, "cpu": True}},
            {"remaining_ms": 1e300},
            {"cold_left_ms": HUGE},
            {"cold_left_ms": -1e300},
            {"seq": HUGE},
            {"seq": -1},
            {"born": HUGE},
            {"born": -1},
            {"born": 1000.5},
        ):
            run = AnnouncementRun()
            with self.subTest(changes=changes):
                self.assertEqual(run.announce(**changes), 400)
                self.assertEqual(run.numbers, [events.ANNOUNCEMENT_MALFORMED.number])

    def test_numbers_that_are_no_json_are_refused(self):
        text = msgspec.json.encode(ANNOUNCEMENT)
        for number in (b"1e400", b"-1e400", b"NaN", b"Infinity", b"9" * 5000):
            run = AnnouncementRun()
            with self.subTest(number=number[:10]):
                self.assertEqual(run.send(text.replace(b"16000", number)), 400)

    def test_agent_survives_a_huge_capacity(self):
        body = {**ANNOUNCEMENT, "capacity": {"cpu": HUGE, "mem_mb": 1, "gpu": 0}}
        run_agent(msgspec.json.encode(body), make_hold())


class RowTests(unittest.TestCase):
    """Rows were built without a check of their fields; some ended the agent."""

    def test_agent_survives_odd_rows(self):
        row = ["j.0.1.2", 1, "", 0, 77]
        end = [58, "j.0.1.9", 1, "done", ""]
        odd = (
            [{"running": [[*row[:n], v, *row[n + 1 :]]]} for n, v in odd_fields(row)]
            + [{"ended": [[*end[:n], v, *end[n + 1 :]]]} for n, v in odd_fields(end)]
            + [{"running": [row[:3]]}, {"ended": [end[:4]]}, {"running": [7]}]
            + [{"clock_ms": HUGE}, {"clock_ms": -1}, {"running": {}}]
        )
        for changes in odd:
            with self.subTest(changes=changes):
                body = make_hold(**changes)
                run_agent(msgspec.json.encode(ANNOUNCEMENT), body)
                with self.assertRaises(HttpCallError):
                    trio.run(make_client(200, body).poll, 7, 57, None, 0.0)

    def test_fields_that_are_added_to_rows_are_ignored(self):
        body = make_hold(running=[["j.0.1.2", 1, "", 0, 77, "new"]])
        result = trio.run(make_client(200, body).poll, 7, 57, None, 0.0)
        self.assertEqual(result.running[0].measurement, 77)


class AnnouncementOrderTests(unittest.TestCase):
    """One odd entry made all later announcements look old."""

    def check_executor_is_heard(self, **odd):
        run = AnnouncementRun()
        run.announce(born=NOW_MS - 60_000, seq=40)
        self.assertEqual(run.announce(**{"born": NOW_MS - 60_000, **odd}), 400)
        self.assertEqual(run.numbers[-1], events.ANNOUNCEMENT_MALFORMED.number)
        run.announce(born=NOW_MS - 60_000, seq=41, state="draining")
        self.assertEqual(run.agent.executor.view.incarnation, f"i-1@{NOW_MS - 60_000}")
        self.assertTrue(run.agent.executor.view.draining)

    def test_start_in_the_future_is_refused(self):
        self.check_executor_is_heard(born=2**53)
        self.check_executor_is_heard(born=NOW_MS + 24 * 3600 * 1000)

    def test_more_calls_than_one_a_millisecond_are_refused(self):
        self.check_executor_is_heard(seq=2**53)
        self.check_executor_is_heard(seq=10**9)

    def test_clocks_may_differ_a_little(self):
        run = AnnouncementRun()
        self.assertEqual(run.announce(born=NOW_MS + 5000, seq=1), 200)
        self.assertEqual(run.announce(born=NOW_MS + 5000, seq=900), 200)

    def test_start_may_be_absent(self):
        run = AnnouncementRun()
        body = {k: v for k, v in ANNOUNCEMENT.items() if k != "born"}
        self.assertEqual(run.send(msgspec.json.encode(body)), 200)


class IncompleteAnnouncementTests(unittest.TestCase):
    """An entry of another writer displaced the executor in use."""

    def check_executor_stays_in_use(self, body):
        run = AnnouncementRun()
        run.announce()
        self.assertEqual(run.send(msgspec.json.encode(body), "i-2"), 400)
        self.assertEqual(run.numbers[-1], events.ANNOUNCEMENT_MALFORMED.number)
        self.assertEqual(run.agent.executor.view.incarnation, "i-1@1000")

    def test_fields_that_are_missing_or_of_another_type(self):
        later = {**ANNOUNCEMENT, "born": 2000}
        for name in later:
            if name not in ("born", "clock_ms"):
                with self.subTest(missing=name):
                    rest = {k: v for k, v in later.items() if k != name}
                    self.check_executor_stays_in_use(rest)
            for value in (None, {}, [None], "1" if name in NUMBERS else 1.5):
                if not (name == "cold_left_ms" and value == 1.5):
                    with self.subTest(name=name, value=value):
                        self.check_executor_stays_in_use({**later, name: value})

    def test_state_that_is_not_defined(self):
        for state in ("", "Ready", "gone", "r\u00e9ady", "ready "):
            with self.subTest(state=state):
                later = {**ANNOUNCEMENT, "born": 2000, "state": state}
                self.check_executor_stays_in_use(later)

    def test_names_that_are_empty(self):
        for name in ("backend", "zone"):
            with self.subTest(name=name):
                later = {**ANNOUNCEMENT, "born": 2000, name: ""}
                self.check_executor_stays_in_use(later)

    def test_bodies_that_are_no_announcement(self):
        for body in (
            b"",
            b"null",
            b"[]",
            b"\xff",
            b"{}",
            b'{"seq":4',
            b"\xef\xbb\xbf{}",
        ):
            run = AnnouncementRun()
            with self.subTest(body=body):
                self.assertEqual(run.send(body), 400)


def odd_fields(row):
    """Return pairs of a field's number and a value that the field can't have."""
    return [
        (number, value)
        for number, field in enumerate(row)
        for value in ([HUGE, -HUGE, 0.5, None, "x"] if isinstance(field, int) else [])
        + ([1, None, [1], {}] if isinstance(field, str) else [])
    ]


class StorePageTests(unittest.TestCase):
    """An error other than LogUnavailableError ended the reader, and its process."""

    def test_odd_items_of_a_page_count_as_no_answer(self):
        item = {"key": "job/1", "value": "AAA=", "offset": 4}
        odd = [
            {"items": [{**item, name: value}]}
            for name, values in {
                "key": (None, 1),
                "value": ("A", "A===", "\u00e4", "\u2028", None, 1),
                "offset": (-1, HUGE, 0.5, "1", None),
            }.items()
            for value in values
        ]
        odd += [{"end": -1}, {"end": HUGE}, {"end": None}, {"has_more": 1}]
        for changes in odd:
            body = msgspec.json.encode({"items": [item], "end": 6, **changes})
            with self.subTest(changes=changes), self.assertRaises(LogUnavailableError):
                trio.run(store_with(200, body).list_newest, "work", "")

    def test_odd_numbers_of_other_answers_count_as_no_answer(self):
        for value in (-1, HUGE, 0.5, "1", None):
            expired = msgspec.json.encode({"first": value})
            refused = msgspec.json.encode({"reason": "seq", "expected": value})
            stored = msgspec.json.encode({"offset": value})
            with self.subTest(value=value):
                with self.assertRaises(LogUnavailableError):
                    trio.run(store_with(410, expired).read, "work", 0, 0.0)
                with self.assertRaises(LogUnavailableError):
                    append(store_with(409, refused))
                with self.assertRaises(LogUnavailableError):
                    append(store_with(200, stored))


class CallerTests(unittest.TestCase):
    """Such requests were answered with status 500."""

    def test_jobs_with_numbers_out_of_range_are_refused_as_malformed(self):
        step = msgspec.to_builtins(WireStep())
        numbers = [name for name, value in step.items() if type(value) is int]
        for name in numbers:
            for value in (HUGE, -HUGE, 2**64, 0.5, "1", None):
                with self.subTest(name=name, value=value):
                    body = msgspec.json.encode({"steps": [{name: value}]})
                    self.assertEqual(submit(body), 400)
        for name in ("start_at_ms", "period_ms", "times"):
            for value in (HUGE, -HUGE, -1, 0.5, "1", None):
                with self.subTest(name=name, value=value):
                    body = msgspec.json.encode({"steps": [{}], name: value})
                    self.assertEqual(submit(body), 400)
        for value in (HUGE, 0.5, "1"):
            body = msgspec.json.encode({"steps": [{}, {"after": [value]}]})
            self.assertEqual(submit(body), 400)

    def test_jobs_of_odd_texts_are_refused_as_malformed(self):
        for body in (
            b'{"steps":[{}],"spec":"\\ud800"}',
            b'{"steps":[{}],"spec":"\xff"}',
            '{"steps":[{}]}'.encode("utf-16"),
            b"null",
            b"9" * 5000,
            b'{"steps":[' + b",".join([b"{}"] * 65) + b"]}",
        ):
            with self.subTest(body=body[:30]):
                self.assertEqual(submit(body), 400)

    def test_odd_deadlines_are_accepted(self):
        job = msgspec.json.encode({"steps": [{}]})
        for deadline in (b"0", b"-1", b"1e9", b"\xb2", b"9" * 400, b"9" * 5000, b""):
            with self.subTest(deadline=deadline[:10]):
                self.assertEqual(submit(job, deadline), 200)


class ConfigurationTests(unittest.TestCase):
    """A number that can't be stored with a job made every job fail."""

    def test_configuration_with_a_number_out_of_range_changes_nothing(self):
        route = CONFIG["routes"][0]
        for name in ("priority", "max_attempts", "stretch", "target_latency_ms"):
            for value in (HUGE, -HUGE):
                with self.subTest(name=name, value=value):
                    odd = {**CONFIG, "version": 8, "routes": [{**route, name: value}]}
                    self.check_refused(odd)
        self.check_refused({**CONFIG, "version": HUGE})

    def check_refused(self, odd):
        configuration = CurrentConfiguration()
        records = OperatorRecords(configuration, lambda: None)
        for offset, config in enumerate((CONFIG, odd)):
            data = msgspec.json.encode(config)
            records.apply(StoredRecord("config", data, offset))
        self.assertEqual(configuration.version, CONFIG["version"])

    def test_other_odd_records_change_nothing(self):
        configuration = CurrentConfiguration()
        records = OperatorRecords(configuration, lambda: None)
        records.apply(StoredRecord("config", msgspec.json.encode(CONFIG), 1))
        for key in ("", "config/", "wave/1", "wave/x", "configx", "\ufffd", "evacuate"):
            for value in (b"", b"\xff", DEEP, None):
                records.apply(StoredRecord(key, value, 2))
        records.apply(StoredRecord("config", None, 3))
        self.assertEqual(configuration.version, CONFIG["version"])
        self.assertEqual(configuration.closed_domains, frozenset())


class ExecutorIdTests(unittest.TestCase):
    """No call could carry such an id; it displaced the executor in use."""

    def test_ids_that_no_call_can_carry_are_refused(self):
        for executor_id in ("a\r\nx: y", "a\0", " i-1", "i 1", "\ufffd", "i" * 300):
            run = AnnouncementRun()
            run.announce()
            with self.subTest(executor_id=executor_id[:9]):
                self.assertEqual(run.announce(executor_id, born=2000), 400)
                self.assertEqual(run.numbers[-1], events.ANNOUNCEMENT_MALFORMED.number)
                self.assertEqual(run.agent.executor.view.executor_id, "i-1")


class OtherExecutorTests(unittest.TestCase):
    """An entry of an executor that is not there, with a later start than the real one,
    kept the real one out of use for good.
    """

    def test_executor_stays_in_use_after_the_other_entry(self):
        run = AnnouncementRun()
        run.there = "i-1@1000"
        run.announce("i-1", born=1000, seq=7)
        run.announce("i-odd", born=2000, seq=1)
        self.assertEqual(run.agent.executor.view.incarnation, "i-1@1000")
        run.announce("i-1", born=1000, seq=8, state="draining")
        self.assertTrue(run.agent.executor.view.draining)

    def test_executor_is_used_again_once_its_address_refused_the_other_id(self):
        run = AnnouncementRun()
        run.there = "i-1@1000"
        run.announce("i-odd", born=2000, seq=1)
        run.announce("i-1", born=1000, seq=8)
        self.assertEqual(run.agent.executor.view.incarnation, "i-1@1000")
        run.announce("i-odd", born=2000, seq=2)
        self.assertEqual(run.agent.executor.view.incarnation, "i-1@1000")

    def test_successor_with_an_earlier_start_is_used_after_a_departure(self):
        """Its clock had been set back; it was ignored for good."""
        run = AnnouncementRun()
        run.announce("i-1", born=2000, seq=7, state="draining")
        run.leave("i-1")
        run.announce("i-2", born=1000, seq=1)
        self.assertEqual(run.agent.executor.view.incarnation, "i-2@1000")
        run.announce("i-1", born=2000, seq=8)
        self.assertEqual(run.agent.executor.view.incarnation, "i-2@1000")

    def test_late_departure_of_an_earlier_executor_changes_nothing(self):
        """The executor that had started again under the id was taken for gone."""
        run = AnnouncementRun()
        run.announce("i-1", born=1000, seq=7, state="draining")
        run.there = "i-1@2000"
        run.announce("i-1", born=2000, seq=1)
        run.leave("i-1")
        self.assertEqual(run.agent.executor.view.incarnation, "i-1@2000")
        run.announce("i-1", born=2000, seq=2, state="draining")
        self.assertTrue(run.agent.executor.view.draining)
        run.leave("i-1")
        self.assertIsNone(run.agent.executor)

    def test_late_announcement_of_an_earlier_executor_changes_nothing(self):
        run = AnnouncementRun()
        run.announce("i-1", born=1000, seq=7)
        run.there = "i-2@2000"
        run.announce("i-2", born=2000, seq=1)
        run.announce("i-1", born=1000, seq=8)
        self.assertEqual(run.agent.executor.view.incarnation, "i-2@2000")


class SettingsTests(unittest.TestCase):
    """The file may change at any time; an odd one ended the process that read it."""

    def test_odd_values_are_refused(self):
        limits = b"[limits]\ncpu_share = 0.4\ncores = 1\n"
        for old, new in (
            (b"grace_s = 6", b"grace_s = nan"),
            (b"grace_s = 6", b"grace_s = inf"),
            (b"status_s = 120", b"status_s = nan"),
            (b"status_s = 120", b"status_s = -1"),
            (b"cpu_share = 0.4", b"cpu_share = nan"),
            (b"cores = 1", b"cores = inf"),
            (b"7720,7735", b"70000,70010"),
            (b"7720,7735", b"-1,7735"),
            (b"10.200.1.7:8169", b"10.200.1.7:70000"),
            (b"10.200.1.7:8169", b"store.example:8169"),
            (b"10.1.0.14:8166", b"10.1.0.14"),
            (b'ip = "10.1.0.14"', b'ip = ""'),
        ):
            data = (SETTINGS + limits).replace(old, new)
            with self.subTest(new=new), self.assertRaises(SettingsError):
                parse_settings(data)

    def test_odd_file_leaves_the_settings_in_force(self):
        settings = parse_settings(SETTINGS)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            for data in (SETTINGS + b"[limits]\ncores = nan\n", DEEP, b"\xff", b""):
                path.write_bytes(data)
                with self.subTest(data=data[-20:]):
                    reload_settings(path, settings, "changed")
                    self.assertEqual(settings.grace_s, 6)


class LongAnnouncementTests(unittest.TestCase):
    """Each report to the owner repeated all of it, twice a second."""

    def test_long_lists_and_names_are_refused(self):
        for changes in (
            {"labels": ["a"] * 100_000},
            {"labels": ["a" * 100_000]},
            {"zone": "a" * 100_000},
            {"backend": "a" * 100_000},
        ):
            run = AnnouncementRun()
            with self.subTest(field=next(iter(changes))):
                self.assertEqual(run.announce(**changes), 400)
        self.assertEqual(AnnouncementRun().announce(labels=["a"] * 64), 200)

    def test_long_values_are_not_repeated_in_full(self):
        """Neither in the log nor in the answer."""
        for name in ("state", "addr"):
            body = msgspec.json.encode({**ANNOUNCEMENT, name: "1:" * 100_000})
            routes = AnnouncementRoutes(BatchAgent(lambda: 0.0, lambda _view: None))
            made = request("PUT", "/x", body, match={"executor_id": "i-1"})
            with self.subTest(name=name), mock.patch.object(events, "write") as write:
                response = trio.run(routes.handle_announcement, made)
                self.assertEqual(response.status, 400)
                self.assertLess(len(response.body), 1000)
                self.assertLess(len(str(write.call_args.kwargs["error"])), 1000)
