"""The ends of runs that one incarnation of an executor has listed.

An executor lists each end until it is acknowledged, and numbers its ends from 1 in each
incarnation. An end is acknowledged once the owner has stored it.

An executor that starts again under its id accepts the acknowledgement that was meant
for its earlier incarnation, and then drops the ends of these numbers that it has at
that moment. Nothing shows afterwards how such a run ended. So an acknowledgement is a
call that does not wait, and no start is sent beside it. From its first poll on the next
incarnation refuses it, as the polls to that one have a higher fence, and no run is
started there before.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

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
    """

    __slots__ = (
        "stored_number",
        "to_acknowledge",
        "due_since",
        "unstored",
        "answered",
    )

    def __init__(self) -> None:
        self.stored_number = 0
        self.to_acknowledge = 0
        self.due_since: float | None = None
        self.unstored: dict[int, EndedRow] = {}
        self.answered = trio.Event()
        self.answered.set()

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
    def acknowledging(self) -> Iterator[None]:
        """Hold back starts until an acknowledgement is answered or has failed."""
        self.answered = trio.Event()
        try:
            yield
        finally:
            self.answered.set()

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
