"""The ends of runs that one incarnation of an executor has listed.

An executor lists each end until it is acknowledged, and numbers its ends from 1 in each
incarnation. An end is acknowledged once the owner has stored it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanwing.batch.ports import EndedRow


class ListedEnds:
    """The ends that one incarnation has listed, and those to acknowledge.

    :param stored_number: the ends of runs up to this number are in the store.
    :param to_acknowledge: highest number of a stored end in the newest listing; 0 if
        that listed none or has been followed by a poll.
    :param unstored: listed ends that are not stored yet, by number.
    """

    __slots__ = ("stored_number", "to_acknowledge", "unstored")

    def __init__(self) -> None:
        self.stored_number = 0
        self.to_acknowledge = 0
        self.unstored: dict[int, EndedRow] = {}

    def drop_stored(self, number: int) -> None:
        """Drop the ends up to a number that the owner has stored."""
        self.stored_number = max(self.stored_number, number)
        for listed in [n for n in self.unstored if n <= self.stored_number]:
            del self.unstored[listed]

    def take_acknowledgement(self) -> int:
        """Return the number up to which the next poll acknowledges ends; 0 for none."""
        acknowledged, self.to_acknowledge = self.to_acknowledge, 0
        return acknowledged

    def apply_listing(self, ended: list[EndedRow]) -> bool:
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
        return added
