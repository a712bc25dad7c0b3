"""Guarantee 10: an accepted change takes effect everywhere and is never reverted."""

from __future__ import annotations

from unittest import mock

import trio

from rattanwing.agent.gate import FreshnessGate
from rattanwing.config.tree import ConfigTree
from rattanwing.entry.agents import AgentDirectory
from rattanwing.entry.config import ConfigService
from tests.variants import VariantTestCase
from tests.world import run_world

TEAM = {"members": ["carl"]}


async def start_pair(world):
    world.start_entry("entry-1", "fd-1")
    world.start_entry("entry-2", "fd-2")
    world.start_agent("agent-1", "fd-1")
    world.start_agent("agent-2", "fd-2")
    await world.wait_ready(2)
    await world.wait_ready(2, "entry-2")
    await world.declare_organisation()


class SpreadProof(VariantTestCase):
    """Guarantee 10: changes reach all agents, and no agent returns to an older view."""

    async def many_changes(self, world):
        await start_pair(world)
        world.log.faults.lose_answers = 2
        for number in range(6):
            entry = f"entry-{number % 2 + 1}"
            edit = (f"teams/t{number}", 0, TEAM)
            status, answer = await world.change(entry, "ada", [edit])
            self.assertEqual(status, 200, answer)
            await trio.sleep(1)
        await trio.sleep(10)

    def test_change_is_in_force_within_seconds(self):
        no_push = mock.patch.object(AgentDirectory, "push_config", lambda _self: None)
        self.assert_mechanism_needed(10, self.many_changes, no_push)

    async def entry_cut_off_from_the_log(self, world):
        """An entry cut off from the log serves an agent that reaches no other entry.

        It gets the configuration from the other entry.
        """
        await start_pair(world)
        world.network.cut("entry-2", "log")
        world.network.cut("entry-1", "agent-2")
        await trio.sleep(5)
        world.history.undisturbed_since.clear()
        for number in range(3):
            edit = (f"teams/t{number}", 0, TEAM)
            await world.change("entry-1", "ada", [edit])
            await trio.sleep(4)
            gate = world.app("agent-2").get("gate")
            confirmed = gate.refusal_reason(trio.current_time()) is None
            self.gate_confirmed.append(confirmed)
        await trio.sleep(10)

    def test_entry_cut_off_from_the_log_learns_from_another(self):
        self.gate_confirmed = []

        def ignore_ack(_config, _ack):
            return True

        no_confirmation = mock.patch.object(
            ConfigService, "handle_confirmation", ignore_ack
        )
        self.assert_mechanism_needed(
            10, self.entry_cut_off_from_the_log, no_confirmation
        )
        self.assertEqual(self.gate_confirmed, [True] * 3 + [False] * 3)

    async def entry_that_folds_slowly(self, world):
        """A restarted entry still folds old records while agents are ahead of it."""
        await start_pair(world)
        for number in range(5):
            await world.change("entry-1", "ada", [(f"teams/t{number}", 0, TEAM)])
        world.kill("entry-2")
        world.network.cut("entry-1", "entry-2")
        world.log.faults.delay_s = 0.4
        await trio.sleep(1)
        with mock.patch("rattanwing.standin.log.READ_LIMIT", 1):
            world.start_entry("entry-2", "fd-2")
            await trio.sleep(15)

    def test_older_view_of_a_new_entry_has_no_effect(self):
        def apply_any(gate, view):
            gate.view = view
            gate.app.emit("view-changed")

        apply_older = mock.patch.object(FreshnessGate, "handle_view", apply_any)
        self.assert_mechanism_needed(10, self.entry_that_folds_slowly, apply_older)


class RacingOperatorsProof(VariantTestCase):
    """Guarantee 10: of two concurrent changes to one node, one is accepted."""

    def race(self):
        outcomes = []

        async def scenario(world):
            await start_pair(world)
            await world.set_domain("entry-1", "fd-1", "in")
            tree = world.app("entry-1").get("config").tree
            base = tree.version("failure-domains/fd-1")

            async def change(entry, author, state):
                edit = ("failure-domains/fd-1", base, {"state": state})
                outcomes.append(await world.change(entry, author, [edit]))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(change, "entry-1", "ada", "out")
                nursery.start_soon(change, "entry-2", "bea", "in")
            states = {
                world.app(entry).get("config").tree.nodes["failure-domains/fd-1"].author
                for entry in ("entry-1", "entry-2")
            }
            self.assertEqual(len(states), 1)

        run_world(scenario)
        return sorted(status for status, _answer in outcomes)

    def test_one_is_accepted_and_one_gets_a_conflict(self):
        self.assertEqual(self.race(), [200, 409])

    def test_variant_without_versions_accepts_both(self):
        check_edit = ConfigTree.check_edit

        def ignore_base(tree, month, change, edit):
            edit.base = tree.version(edit.path)
            return check_edit(tree, month, change, edit)

        with mock.patch.object(ConfigTree, "check_edit", ignore_base):
            self.assertEqual(self.race(), [200, 200])

    def test_owner_of_the_month_settles(self):
        async def scenario(world):
            await start_pair(world)
            await world.set_domain("entry-1", "fd-1", "out")
            organisation = world.app("entry-1").get("config").tree.organisation()
            month = "2026-11"
            owner = organisation.owner_of(month)
            edit = [("failure-domains/fd-1", 0, {"state": "in"})]
            other = next(o for o in organisation.owners if o != owner)
            status, answer = await world.change("entry-2", other, edit, settle=True)
            self.assertEqual((status, answer["error"]), (409, "not-owner"))
            status, answer = await world.change("entry-2", owner, edit, settle=True)
            self.assertEqual(status, 200, answer)

        run_world(scenario)


class SnapshotProof(VariantTestCase):
    """Guarantee 10: a process that starts after old log records have expired."""

    def test_new_process_starts_from_a_snapshot_after_expiry(self):
        seen = {}

        async def scenario(world):
            await start_pair(world)
            await world.change("entry-1", "ada", [("teams/early", 0, TEAM)])
            for entry in ("entry-1", "entry-2"):
                stream = world.app(entry).get("config").stream
                stream.snapshot_interval_s = 5.0
            await trio.sleep(8)
            world.log.retention = 3
            for number in range(4):
                await world.change("entry-1", "ada", [(f"teams/t{number}", 0, TEAM)])
                await trio.sleep(6)
            self.assertGreater(world.log.first_offsets["config"], 2)
            world.kill("entry-2")
            await trio.sleep(1)
            world.start_entry("entry-2", "fd-2")
            await trio.sleep(12)
            for entry in ("entry-1", "entry-2"):
                tree = world.app(entry).get("config").tree
                seen[entry] = (
                    sorted(tree.nodes),
                    tree.last_change_version,
                    dict(tree.verdicts),
                )

        run_world(scenario)
        self.assertIn("teams/early", seen["entry-2"][0])
        self.assertEqual(seen["entry-1"], seen["entry-2"])

    def test_without_a_snapshot_nothing_is_confirmed(self):
        async def scenario(world):
            world.log.retention = 1
            for number in range(3):
                await world.log.append("config", [b'{"kind":"x%d"}' % number])
            world.start_entry("entry-1")
            world.start_agent("agent-1")
            await trio.sleep(20)
            config = world.app("entry-1").get("config")
            self.assertIsNotNone(config.stream.records_after_gap)
            self.assertGreater(config.age_s(trio.current_time()), 19)
            gate = world.app("agent-1").get("gate")
            self.assertEqual(
                gate.refusal_reason(trio.current_time()), "config-not-fresh"
            )

        run_world(scenario)
