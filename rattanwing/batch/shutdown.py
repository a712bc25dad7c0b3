"""The orderly stop of an entry: its times, and the callers' requests until it exits."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

Result = TypeVar("Result")

EXIT_MARGIN_S = 2.0
"""Longest time in seconds before the kill at which a stopping entry exits."""

EXIT_MARGIN_SHARE = 1 / 3
"""Largest share of the grace period that is left when a stopping entry exits."""

SEND_TIME_S = 0.3
"""Time in seconds before the exit in which the last answers are sent."""


class StopTimes:
    """When a stopping entry does what, in seconds after the request to stop.

    :param answers_end_s: when the last requests are answered.
    :param exit_s: when its connections end and it exits.
    """

    __slots__ = ("answers_end_s", "exit_s")

    def __init__(self, grace_s: float) -> None:
        self.exit_s = grace_s - min(EXIT_MARGIN_S, grace_s * EXIT_MARGIN_SHARE)
        self.answers_end_s = max(0.0, self.exit_s - SEND_TIME_S)


class OpenRequests:
    """The requests of callers that are in progress.

    Callers may keep their connections open, and send further requests, until the entry
    exits. None of these requests takes longer than until the last answers.

    :param scopes: the cancel scope of each request.
    :param end_at: time on trio's clock of the last answers; infinity while the entry
        is not stopping.
    """

    __slots__ = ("scopes", "end_at")

    def __init__(self) -> None:
        self.scopes: set[trio.CancelScope] = set()
        self.end_at = float("inf")

    def is_stopping(self) -> bool:
        """Return whether the entry has been requested to stop."""
        return self.end_at < float("inf")

    def accepts(self, now: float) -> bool:
        """Return whether a request that arrives now is carried out."""
        return now < self.end_at

    def end(self, at: float) -> None:
        """Have all requests end by a time on trio's clock."""
        self.end_at = at
        for scope in self.scopes:
            scope.deadline = at

    async def carry_out(self, call: Callable[[], Awaitable[Result]]) -> Result | None:
        """Return the result of a request, ``None`` if the last answers came first."""
        with trio.CancelScope(deadline=self.end_at) as scope:
            self.scopes.add(scope)
            try:
                return await call()
            finally:
                self.scopes.discard(scope)
        return None
