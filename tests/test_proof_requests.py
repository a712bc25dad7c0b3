"""Guarantees 5 to 9: they hold, and break once a mechanism behind them is removed."""

from __future__ import annotations

from unittest import mock

import trio

from rattanwing.agent.admission import Admission
from rattanwing.agent.connector import Connector
from rattanwing.agent.requests import RequestService, not_run_answer
from rattanwing.entry import dispatch
from rattanwing.entry.dispatch import Dispatcher
from rattanwing.entry.keys import KeyTable
from rattanwing.entry.operators import OperatorInterface
from rattanwing.messages import ServiceAnswer
from tests.variants import VariantTestCase


async def start_small(world, agents=3):
    """Start two entries and some agents."""
    world.start_entry("entry-1", "fd-1")
    world.start_entry("entry-2", "fd-2")
    for number in range(1, agents + 1):
        world.start_agent(f"agent-{number}", f"fd-{number % 3 + 1}")
    await world.wait_ready(agents)
    await world.wait_ready(agents, "entry-2")


async def send_many(world, count, method="POST", pause_s=0.02, prefix="m"):
    """Send requests to both entries in turn and wait for all outcomes."""
    async with trio.open_nursery() as nursery:
        for number in range(count):
            entry = f"entry-{number % 2 + 1}"
            nursery.start_soon(world.request, entry, f"{prefix}{number}", method)
            await trio.sleep(pause_s)


class WholeAnswerProof(VariantTestCase):
    """Guarantee 5: each caller gets the answer to its own request.

    Answers arrive late, out of order and on a replaced connection, so an answer
    matched by order instead of by request id goes to the wrong caller.
    """

    async def scenario(self, world):
        await start_small(world)
        for executor in world.executors.values():
            executor.spread_s = 0.4
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_many, world, 60)
            await trio.sleep(0.3)
            for number in (1, 2, 3):
                for session in sessions_of(world, f"agent-{number}"):
                    session.close()
                await trio.sleep(0.2)

    def test_each_caller_gets_its_own_answer(self):
        def resolve_first_open(this, handle, message):
            if not isinstance(message, ServiceAnswer):
                return
            for attempt in this.attempts_of(handle):
                attempt.resolve(message)
                return

        match_by_order = mock.patch.object(
            Dispatcher, "handle_message", resolve_first_open
        )
        history = self.assert_mechanism_needed(5, self.scenario, match_by_order)
        ran = [call for call in history.calls.values() if call.verdict == "ran"]
        self.assertGreater(len(ran), 50)


def sessions_of(world, agent):
    return list(world.app(agent).get("connector").sessions.values())


class NotRunProof(VariantTestCase):
    """Guarantee 6: a request answered with not-run never reached an executor.

    Agents die, are cut off or lose answers after they received the request.
    """

    async def scenario(self, world):
        await start_small(world)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_many, world, 80)
            await trio.sleep(0.4)
            world.kill("agent-1")
            await trio.sleep(0.3)
            world.network.cut("entry-1", "agent-2")
            await trio.sleep(0.3)
            world.executors["agent-3"].lose_answers = 5

    def test_lost_attempt_is_not_called_not_run(self):
        report_not_run = mock.patch.object(
            dispatch, "may_have_run_answer", dispatch.not_run_answer
        )
        no_retry = mock.patch.object(dispatch, "MAX_ATTEMPTS", 1)
        self.assert_mechanism_needed(6, self.scenario, report_not_run, no_retry)

    async def reconnected_agent(self, world):
        await start_small(world, agents=1)
        world.executors["agent-1"].service_s = 1.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_many, world, 6)
            await trio.sleep(0.4)
            for session in sessions_of(world, "agent-1"):
                session.close()

    def test_query_about_an_open_request(self):
        def answer_not_run(this, entry, request_id):
            answer = not_run_answer(request_id, "never-received")
            this.app.get("connector").send(entry, answer)

        forget_requests = mock.patch.object(
            RequestService, "answer_query", answer_not_run
        )
        no_retry = mock.patch.object(dispatch, "MAX_ATTEMPTS", 1)
        history = self.assert_mechanism_needed(
            6, self.reconnected_agent, forget_requests, no_retry
        )
        verdicts = {call.verdict for call in history.calls.values()}
        self.assertEqual(verdicts, {"ran"})


class AtMostOnceProof(VariantTestCase):
    """Guarantee 7: a non-idempotent request runs at most once.

    Answers are lost, and agents and entries die or are cut off.
    """

    async def scenario(self, world):
        await start_small(world)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_many, world, 80)
            await trio.sleep(0.4)
            world.executors["agent-1"].lose_answers = 10
            world.kill("agent-2")
            await trio.sleep(0.2)
            world.network.cut_one_way("agent-3", "entry-1")

    def test_lost_answers_are_not_retried(self):
        retry_unless_ran = mock.patch.object(
            dispatch, "may_retry", lambda _request, answer: answer.verdict != "ran"
        )
        self.assert_mechanism_needed(7, self.scenario, retry_unless_ran)

    async def keyed_resends(self, world):
        await start_small(world)
        world.log.faults.lose_answers = 2
        async with trio.open_nursery() as nursery:
            for number in range(20):
                marker = f"k{number}"
                for entry in ("entry-1", "entry-2"):
                    nursery.start_soon(send_keyed, world, entry, marker)
                await trio.sleep(0.05)
                if number == 8:
                    world.executors["agent-1"].lose_answers = 3
                if number == 12:
                    world.kill("entry-1")

    def test_key_through_two_entries(self):
        accept_all = mock.patch.object(
            KeyTable, "apply_begin", lambda table, key, begin: accept(table, key, begin)
        )
        self.assert_mechanism_needed(7, self.keyed_resends, accept_all)


async def send_keyed(world, entry, marker):
    """Send a request with a key up to three times, until it is answered with 200."""
    for _try in range(3):
        if world.processes[entry].ended.is_set():
            return
        response = await world.request(entry, marker, key=marker)
        if response is not None and response.status == 200:
            return
        await trio.sleep(0.5)


def accept(table, key, begin):
    """Accept every begin record of a key, not just the first."""
    table.begins.setdefault(key, begin)


class LeavingProof(VariantTestCase):
    """Guarantee 8: a target that is leaving gets no new work after a few seconds."""

    async def scenario(self, world):
        await start_small(world)
        set_service_time(world, 8.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_long, world)
            await trio.sleep(0.5)
            set_service_time(world, 0.05)
            nursery.start_soon(world.stop, "agent-1")
            await send_many(world, 120, pause_s=0.05)

    def test_leaving_target_gets_no_new_work(self):
        no_announcement = mock.patch.object(
            Connector, "announce_leaving", lambda _self: None
        )
        no_refusal = mock.patch.object(Admission, "close", lambda _self: None)
        self.assert_mechanism_needed(8, self.scenario, no_announcement, no_refusal)


def set_service_time(world, seconds):
    for executor in world.executors.values():
        executor.service_s = seconds


async def send_long(world):
    """Send requests that keep every agent busy for several seconds."""
    async with trio.open_nursery() as nursery:
        for number in range(12):
            entry = f"entry-{number % 2 + 1}"
            nursery.start_soon(world.request, entry, f"long{number}", "POST", 20_000)


class PlannedStopProof(VariantTestCase):
    """Guarantee 9: a planned stop interrupts no request in progress."""

    async def scenario(self, world):
        world.history.only_planned_stops = True
        await start_small(world)
        set_service_time(world, 0.8)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_to_healthy, world, 60)
            await trio.sleep(1.0)
            nursery.start_soon(world.stop, "entry-1")
            await trio.sleep(1.0)
            nursery.start_soon(world.stop, "agent-1")

    def test_stop_of_an_entry(self):
        async def return_at_once(_self):
            return

        no_drain = mock.patch.object(OperatorInterface, "drain", return_at_once)
        self.assert_mechanism_needed(9, self.scenario, no_drain)

    def test_stop_of_an_agent(self):
        async def return_at_once(_self):
            return

        no_drain = mock.patch.object(RequestService, "drain", return_at_once)
        self.assert_mechanism_needed(9, self.scenario, no_drain)


async def send_to_healthy(world, count):
    """Send requests as a load balancer does, to entries that report healthy."""
    async with trio.open_nursery() as nursery:
        for number in range(count):
            healthy = [
                name
                for name in ("entry-1", "entry-2")
                if not world.app(name).get("operators").stopping
            ]
            entry = healthy[number % len(healthy)]
            nursery.start_soon(world.request, entry, f"p{number}")
            await trio.sleep(0.05)
