"""The application object: a registry of services, background tasks and listeners."""

from __future__ import annotations

import importlib
from random import Random
from typing import TYPE_CHECKING, Any

from rattanwing.errors import RegistryError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class Application:
    """Holds the services of one role and lets them find each other by name.

    :param settings: the validated settings of this process.
    :param clock: returns monotonic seconds; tests pass a virtual clock.
    :param random: source of all random choices; tests pass a seeded one.
    """

    __slots__ = ("settings", "clock", "random", "services", "tasks", "listeners")

    def __init__(
        self, settings: Any, clock: Callable[[], float], random: Random | None = None
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random or Random()
        self.services: dict[str, Any] = {}
        self.tasks: list[Callable[[], Awaitable[None]]] = []
        self.listeners: dict[str, list[Callable[..., None]]] = {}

    def setup_extension(self, module_name: str) -> None:
        """Import a module and call its ``setup`` function with this application."""
        importlib.import_module(module_name).setup(self)

    def add_service(self, name: str, service: Any) -> None:
        """Register a service.

        :raises RegistryError: if the name is already registered.
        """
        if name in self.services:
            raise RegistryError(f"service {name!r} is registered twice")
        self.services[name] = service

    def get(self, name: str) -> Any:
        """Return the service registered under ``name``.

        :raises RegistryError: if no service has this name.
        """
        if name not in self.services:
            raise RegistryError(f"service {name!r} is not loaded")
        return self.services[name]

    def add_task(self, run: Callable[[], Awaitable[None]]) -> None:
        """Register a coroutine function to run in the background until the stop."""
        self.tasks.append(run)

    def connect(self, event: str, listener: Callable[..., None]) -> None:
        """Call ``listener`` whenever the signal named ``event`` is emitted.

        These signals stay within the application; they are not log events.
        """
        self.listeners.setdefault(event, []).append(listener)

    def emit(self, event: str, *args: Any) -> None:
        """Call the listeners of a signal in the order in which they were added."""
        for listener in self.listeners.get(event, ()):
            listener(*args)

    def now(self) -> float:
        """Return the current time in monotonic seconds."""
        return self.clock()
