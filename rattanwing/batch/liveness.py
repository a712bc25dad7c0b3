"""Decides whether a run may come to exist on an executor that starts again.

An executor may start again under its id. It then accepts calls that were meant for its
earlier incarnation, its clock and its fence begin anew, and a start call without an
answer may be carried out seconds after it was sent. Two facts bound this: such a call
is not carried out later than ``LATE_CALL_S``, and an executor refuses it once it has
answered a call under a higher fence. So the calls to each incarnation under one id have
a higher fence than those to the incarnation before.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rattanwing.batch import messages
    from rattanwing.batch.hosts import Run

LATE_CALL_S = 15.0
"""Time in seconds for which a start call without an answer may still take effect."""

GENERATIONS_PER_STREAM = 1 << 10
"""Number of generations under the fence of one stream. The fence of a call is the
stream's fence times this number plus the generation."""

GENERATIONS_PER_INCARNATION = 2
"""Number of generations of each incarnation: one for the calls to it, and one for the
polls that fence its successor until that has announced itself."""

LATE_RUN_S = 26.0
"""Time in seconds after a start call without an answer for which a run may exist that
it has started: ``LATE_CALL_S``, and the longest lease that an executor grants, on
a clock that may be slow. It is ``LATE_CALL_S`` if no executor is there any more."""

UNCONFIRMED_FOR_S = 28.0
"""Time in seconds after its placement for which a run whose start had no answer may
exist on a host out of reach: the time until its order is void, and ``LATE_RUN_S``."""

RunKey = tuple[str, int]
"""Task and attempt."""


def call_fence(stream_fence: int, generation: int) -> int:
    """Return the fence of a call.

    :param stream_fence: the fence of the owner's stream.
    :param generation: number that increases with each incarnation of any executor that
        the agent has controlled since the stream was opened.
    """
    return stream_fence * GENERATIONS_PER_STREAM + generation


class StartCall:
    """A start call for a run that was sent and not settled.

    :param properties: properties of its task, ``None`` if they are not known.
    :param sent_at: time when it was sent.
    """

    __slots__ = ("properties", "sent_at")

    def __init__(
        self, properties: messages.TaskProperties | None, sent_at: float
    ) -> None:
        self.properties = properties
        self.sent_at = sent_at

    def is_ruled_out(self, absent_at: float) -> bool:
        """Return whether no run exists, or will, that this call has started.

        Once the call can't be carried out any more, that no executor is there shows
        both. Before, it may start again and carry the call out.

        :param absent_at: when a poll was sent that found no executor.
        """
        return absent_at > self.sent_at + LATE_CALL_S


class StartCalls:
    """The start calls to all incarnations under one id that may be carried out late.

    A call stays here although a repeat of it was answered: the next incarnation does
    not know that the run has been started.

    :param calls: the unsettled calls for each run, in the order of sending; the runs in
        the order of their newest call.
    :param in_flight: number of calls that wait for their answer.
    """

    __slots__ = ("calls", "in_flight")

    def __init__(self) -> None:
        self.calls: dict[RunKey, list[StartCall]] = {}
        self.in_flight = 0

    @contextmanager
    def sending(self) -> Iterator[None]:
        """Count a call as in flight until it has been answered or has failed."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    def send(self, key: RunKey, call: StartCall) -> None:
        """Record that a call is being sent."""
        self.drop_expired(call.sent_at)
        calls = self.calls.pop(key, [])
        self.calls[key] = [*calls, call]

    def settle(self, key: RunKey, call: StartCall) -> None:
        """Record that a call was answered, or has surely not been received."""
        calls = [other for other in self.calls.get(key, ()) if other is not call]
        if calls:
            self.calls[key] = calls
        else:
            self.calls.pop(key, None)

    def outstanding(
        self, now: float, within_s: float = LATE_CALL_S
    ) -> dict[RunKey, StartCall]:
        """Return the newest unsettled call for each run, if sent within a time in s.

        By default these are the calls that may still be carried out.
        """
        self.drop_expired(now)
        return {
            key: calls[-1]
            for key, calls in self.calls.items()
            if now - calls[-1].sent_at <= within_s
        }

    def drop_expired(self, now: float) -> None:
        """Drop the calls that can have no effect any more, the oldest first."""
        while self.calls:
            key = next(iter(self.calls))
            if now - self.calls[key][-1].sent_at <= LATE_RUN_S:
                return
            del self.calls[key]


def may_outlive_lease(run: Run, now: float) -> bool:
    """Return whether a run of a host whose lease has lapsed may still be started there.

    Its deadline does not prevent that, because the clock of an executor that starts
    again begins anew. A run whose agent was lost before it could report a call without
    an answer counts as lost with the lease.
    """
    return run.may_start_late and now < run.placed_at + UNCONFIRMED_FOR_S
