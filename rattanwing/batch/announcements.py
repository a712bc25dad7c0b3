"""Decides from announcements which executor an agent controls.

An announcement may be late, may come from another writer, and may name an executor that
is not there. So it does not prove that the executor in use has exited; the answers of
the executors to polls do.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

import trio

from rattanwing import events
from rattanwing.batch.liveness import call_fence
from rattanwing.batch.ports import ExecutorView, OrderOutcome, OrderResult
from rattanwing.util.http_client import HttpCallError

if TYPE_CHECKING:
    from rattanwing.batch.agent import BatchAgent
    from rattanwing.batch.ports import ExecutorPort

MAX_EXITED = 16
"""Number of exited incarnations that are remembered."""

MAX_NUMBERED = 16
"""Number of incarnations of which the number of the newest announcement is kept."""

MAX_CHECKS = 4
"""Limit of concurrent checks; the announcements beyond it are ignored."""

CHECK_LIMIT_S = 3.0
"""Longest check of one announcement, in seconds: two intervals between announcements,
of which the next one starts a new check."""

CHECK_PAUSE_S = 0.15
"""Pause in seconds between two rounds of polls of a check."""


class Presence(Enum):
    """What the answer to a poll shows of the incarnation that was polled."""

    THERE = "there"
    # An incarnation with its id has answered; the answer does not say which one.
    SAME_ID = "same-id"
    # Another incarnation with its id has answered.
    RESTARTED = "restarted"
    # An executor with another id has answered.
    GONE = "gone"
    UNKNOWN = "unknown"


async def find_presence(
    executor: ExecutorPort, view: ExecutorView, fence: int
) -> Presence:
    """Poll an executor and return whether it is there.

    :param fence: fence of the poll, which extends no lease and acknowledges no end.
    """
    try:
        result = await executor.poll(fence, 0, None, 0.0)
    except HttpCallError:
        return Presence.UNKNOWN
    if isinstance(result, OrderResult):
        match result.outcome:
            case OrderOutcome.OTHER_INCARNATION:
                return Presence.GONE
            case OrderOutcome.FENCED:
                return Presence.SAME_ID
        return Presence.UNKNOWN
    if not result.incarnation:
        return Presence.SAME_ID
    same = result.incarnation == view.incarnation
    return Presence.THERE if same else Presence.RESTARTED


class Announcements:
    """The announcements that arrive at one agent.

    :param numbers: number of the newest announcement of each incarnation.
    :param exited: the last incarnations that have surely exited.
    :param checks: newest description of each incarnation that is being checked.
    :param differing: the last announcement of the incarnation in use, and its number,
        if it describes another executor; else ``None``.
    """

    __slots__ = ("agent", "numbers", "exited", "checks", "differing")

    def __init__(self, agent: BatchAgent) -> None:
        self.agent = agent
        self.numbers: dict[str, int] = {}
        self.exited: deque[str] = deque(maxlen=MAX_EXITED)
        self.checks: dict[str, ExecutorView] = {}
        self.differing: tuple[ExecutorView, int] | None = None

    def receive(self, view: ExecutorView, number: int) -> None:
        """Handle one announcement.

        :param number: its number among those of the incarnation.
        """
        current = self.agent.executor
        if current is not None and current.exited:
            self.record_exit(current.view.incarnation)
        if view.incarnation in self.exited:
            return
        if number <= self.numbers.get(view.incarnation, -1):
            return
        if current is None:
            self.use(view, number)
        elif current.view.incarnation != view.incarnation:
            self.start_check(view, number)
        elif self.is_credible(current.view, view, number):
            self.use(view, number)

    def use(self, view: ExecutorView, number: int) -> None:
        """Have the agent control the described executor."""
        self.record_number(view.incarnation, number)
        self.agent.handle_announcement(view)

    def record_number(self, incarnation: str, number: int) -> None:
        """Record the number of the newest announcement of an incarnation.

        The oldest one beyond the limit is dropped, but not that of the one in use.
        """
        self.numbers.pop(incarnation, None)
        self.numbers[incarnation] = number
        if len(self.numbers) > MAX_NUMBERED:
            current = self.agent.executor
            in_use = current.view.incarnation if current is not None else ""
            del self.numbers[next(key for key in self.numbers if key != in_use)]

    def record_exit(self, incarnation: str) -> None:
        """Record that an incarnation has exited; its late announcements are ignored."""
        if incarnation not in self.exited:
            self.exited.append(incarnation)

    def is_credible(self, known: ExecutorView, view: ExecutorView, number: int) -> bool:
        """Return whether an announcement describes the incarnation in use.

        One that names another service, address or failure domain does once the next one
        names the same: either the first or what was known before came from another
        writer.
        """
        previous, self.differing = self.differing, None
        if view.identity() == known.identity():
            return True
        if previous is not None:
            before, number_before = previous
            same = before.incarnation == view.incarnation
            if same and before.identity() == view.identity() and number_before < number:
                return True
        self.differing = view, number
        events.write(
            events.ANNOUNCEMENT_DIFFERS,
            executor=view.executor_id,
            service=view.service,
            address=view.address,
            failure_domain=view.failure_domain,
        )
        return False

    def start_check(self, view: ExecutorView, number: int) -> None:
        """Check in the background whether another executor has replaced that in use."""
        nursery = self.agent.nursery
        is_new = view.incarnation not in self.checks
        if nursery is None or (is_new and len(self.checks) >= MAX_CHECKS):
            return
        self.record_number(view.incarnation, number)
        self.checks[view.incarnation] = view
        if is_new:
            nursery.start_soon(self.check, view)

    async def check(self, view: ExecutorView) -> None:
        """Use the described executor once it is shown to have replaced that in use."""
        clock = self.agent.clock
        began_at = clock()
        outcome = "undecided"
        try:
            executor = self.agent.connect(view)
            while clock() - began_at < CHECK_LIMIT_S:
                replaced = await self.find_replaced(view, executor)
                if replaced is None:
                    await trio.sleep(CHECK_PAUSE_S)
                    continue
                outcome = "replaced" if replaced else "ignored"
                if replaced:
                    self.agent.handle_announcement(self.checks[view.incarnation])
                return
        finally:
            del self.checks[view.incarnation]
            events.write(
                events.ANNOUNCEMENT_CHECKED,
                executor=view.executor_id,
                incarnation=view.incarnation,
                service=view.service,
                checked_s=round(clock() - began_at, 3),
                outcome=outcome,
            )

    async def find_replaced(
        self, view: ExecutorView, executor: ExecutorPort
    ) -> bool | None:
        """Return whether an announced executor has replaced that in use.

        :param executor: the client of the announced executor.
        :returns: ``None`` if the answers do not show it.
        """
        current = self.agent.executor
        if current is None:
            return True
        if current.view.incarnation == view.incarnation:
            return False
        fence = call_fence(current.fence, current.generation)
        if not current.exited:
            match await find_presence(current.executor, current.view, fence):
                case Presence.THERE:
                    return False
                case Presence.SAME_ID if current.view.executor_id != view.executor_id:
                    return False
                case Presence.GONE:
                    current.record_exit()
                case Presence.RESTARTED:
                    current.restarted_under_id = True
                    current.record_exit()
        if current.exited:
            self.record_exit(current.view.incarnation)
            # Its successor may have been polled under the next generation.
            fence += 1
        presence = await find_presence(executor, view, fence)
        if self.agent.executor is not current:
            return None
        match presence:
            case Presence.THERE | Presence.SAME_ID:
                return True
            case Presence.RESTARTED | Presence.GONE:
                return False
        return None
