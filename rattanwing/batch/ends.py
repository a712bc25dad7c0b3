"""The ends of runs that one incarnation of an executor has listed.

An executor lists each end until it is acknowledged, and numbers its ends from 1 in each
incarnation. An end is acknowledged once the owner has stored it.

An executor that starts again under its id accepts the acknowledgement that was meant
for its earlier incarnation, and then drops its own ends of these numbers unlisted.
Nothing in the call prevents this, and nothing shows afterwards how such a run ended. So
an acknowledgement is a call that does not wait, no start is sent beside it, and an
incarnation that one without an answer may have reached starts no runs.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from rattanwing.batch.liveness import LATE_CALL_S
from rattanwing.batch.timing import CLOCK_DRIFT
from rattanwing.util.http_client import HttpCallError
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rattanwing.batch.ports import EndedRow


OVERDUE_AFTER_S = 1.0
"""Time in seconds for which an acknowledgement waits for a moment without a start call.
After it no start is sent before the acknowledgement."""


class ListedEnds:
    """The ends that one incarnation has listed, and their acknowledgement.

    :param stored_number: the ends of runs up to this number are in the store.
    :param to_acknowledge: highest number of a stored end in the newest listing; 0 if
        that listed none or has been followed by a poll.
    :param due_since: time since which there has been such an end; ``None`` if there is
        none.
    :param unstored: listed ends that are not stored yet, by number.
    :param answered: set once the acknowledgement that was sent last is settled or has
        failed.
    :param sent_until: time until which the acknowledgement that waits for its answer
        may be carried out; negative infinity if there is none.
    :param late_until: the same for those without an answer; negative infinity if this
        incarnation has outlived that time.
    :param may_hide: whether an acknowledgement for an earlier incarnation may have
        reached this one.
    """

    __slots__ = (
        "stored_number",
        "to_acknowledge",
        "due_since",
        "unstored",
        "answered",
        "sent_until",
        "late_until",
        "may_hide",
    )

    def __init__(self) -> None:
        self.stored_number = 0
        self.to_acknowledge = 0
        self.due_since: float | None = None
        self.unstored: dict[int, EndedRow] = {}
        self.answered = trio.Event()
        self.answered.set()
        self.sent_until = float("-inf")
        self.late_until = float("-inf")
        self.may_hide = False

    def succeed(self, previous: ListedEnds) -> None:
        """Take over what acknowledgements for the previous incarnation may do here."""
        self.late_until = previous.next_may_hide_until()
        self.may_hide = self.late_until > float("-inf")

    def next_may_hide_until(self) -> float:
        """Return the time until which an acknowledgement may reach the next one."""
        return max(self.sent_until, self.late_until)

    def drop_stored(self, number: int) -> None:
        """Drop the ends up to a number that the owner has stored."""
        self.stored_number = max(self.stored_number, number)
        for listed in [n for n in self.unstored if n <= self.stored_number]:
            del self.unstored[listed]

    def take_acknowledgement(self) -> int:
        """Return the number up to which the next poll acknowledges ends; 0 for none."""
        acknowledged, self.to_acknowledge = self.to_acknowledge, 0
        self.due_since = None
        return acknowledged

    def is_overdue(self, now: float) -> bool:
        """Return whether starts must wait until the stored ends are acknowledged."""
        return self.due_since is not None and now - self.due_since > OVERDUE_AFTER_S

    @contextmanager
    def acknowledging(self, sent_at: float) -> Iterator[Acknowledgement]:
        """Record that an acknowledgement is being sent, and what becomes of it.

        It counts as having no answer, also when it is cancelled, unless it was settled
        or has surely not been received.
        """
        call = Acknowledgement()
        self.answered = trio.Event()
        self.sent_until = sent_at + LATE_CALL_S
        try:
            yield call
        except HttpCallError as error:
            call.settled = error.verdict is Verdict.NOT_RUN
            raise
        finally:
            if not call.settled:
                self.late_until = self.next_may_hide_until()
            self.sent_until = float("-inf")
            self.answered.set()

    def record_answer(self, sent_at: float, clock_ms: int) -> None:
        """Record that this incarnation has answered a call sent at a time.

        One that began after every late acknowledgement was reached by none.

        :param clock_ms: its clock, which it started at its begin or earlier; 0 if it
            is not known.
        """
        if self.late_until == float("-inf"):
            return
        age_s = clock_ms / 1000 / (1 - CLOCK_DRIFT)
        if clock_ms > 0 and sent_at - age_s > self.late_until:
            self.may_hide = False
        if sent_at > self.late_until:
            self.late_until = float("-inf")

    def apply_listing(self, ended: list[EndedRow], now: float) -> bool:
        """Record the ends of a listing; return whether there are new ones."""
        added = False
        for end in ended:
            if end.number > self.stored_number and end.number not in self.unstored:
                self.unstored[end.number] = end
                added = True
        self.to_acknowledge = max(
            (end.number for end in ended if end.number <= self.stored_number),
            default=0,
        )
        if not self.to_acknowledge:
            self.due_since = None
        elif self.due_since is None:
            self.due_since = now
        return added


class Acknowledgement:
    """An acknowledgement that is being sent.

    :param settled: whether its own incarnation has answered it, or it was refused or
        not received.
    """

    __slots__ = ("settled",)

    def __init__(self) -> None:
        self.settled = False
