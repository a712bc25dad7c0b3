"""Background tasks and graceful stop of one application."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

import trio

from rattanwing import events

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rattanwing.application import Application

RESTART_DELAY_S = 1.0


class Lifecycle:
    """Runs the application's background tasks and its graceful stop.

    Emits ``stopping`` once, when the stop begins.

    :param stop_requested: set when the stop begins.
    :param drains: coroutine functions that finish the work in progress; they run
        concurrently when the stop begins.
    :param flushes: coroutine functions that wait until the peers have received all
        messages; they run concurrently after all drains have returned, and the
        application ends when all of them have returned.
    """

    __slots__ = ("app", "stop_requested", "drains", "flushes")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.stop_requested = trio.Event()
        self.drains: list[Callable[[], Awaitable[None]]] = []
        self.flushes: list[Callable[[], Awaitable[None]]] = []

    def is_stopping(self) -> bool:
        """Return whether a graceful stop has begun."""
        return self.stop_requested.is_set()

    def stop(self) -> None:
        """Begin a graceful stop; further calls have no effect."""
        if self.stop_requested.is_set():
            return
        events.write(events.PROCESS_STOPPING, process=self.app.settings.name)
        self.stop_requested.set()
        self.app.emit("stopping")

    async def run(self) -> None:
        """Run the application's background tasks until a stop is complete."""
        async with trio.open_nursery() as nursery:
            for task in self.app.tasks:
                nursery.start_soon(supervise, task)
            await self.stop_requested.wait()
            await run_concurrently(self.drains)
            await run_concurrently(self.flushes)
            nursery.cancel_scope.cancel()


async def run_concurrently(functions: list[Callable[[], Awaitable[None]]]) -> None:
    """Run coroutine functions concurrently until all have returned."""
    async with trio.open_nursery() as nursery:
        for function in functions:
            nursery.start_soon(function)


async def supervise(task: Callable[[], Awaitable[None]]) -> None:
    """Run a task; after an unexpected error, log it and restart the task.

    ``OSError`` is not caught, alone or in a group: it ends the process.
    """
    while True:
        try:
            return await task()
        except OSError:
            raise
        except Exception as error:
            if isinstance(error, ExceptionGroup) and error.subgroup(OSError):
                raise
            detail = "".join(traceback.format_exception(error))
            events.write(events.BACKGROUND_TASK_FAILED, error=repr(error), trace=detail)
            await trio.sleep(RESTART_DELAY_S)


def setup(app: Application) -> None:
    """Register the service ``lifecycle``."""
    app.add_service("lifecycle", Lifecycle(app))
