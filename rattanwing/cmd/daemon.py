"""The daemon ``rattanwingd``.

It parses its arguments with argparse, because importing cleo would use 5 MB of the
32 MB that an agent may use.
"""

from __future__ import annotations

import argparse
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import trio
import trio_asyncio

from rattanwing import __version__, events
from rattanwing.deployment import make_applications
from rattanwing.errors import SettingsError
from rattanwing.settings import Settings, load_settings

if TYPE_CHECKING:
    from rattanwing.application import Application

EXIT_OK = 0
EXIT_SETTINGS = 2
EXAMPLE = "example: rattanwingd --settings examples/lucegiro/entry-1.json"


async def run_applications(applications: list[Application]) -> None:
    """Run applications until SIGTERM or SIGINT, then stop them gracefully."""
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, applications)
        async with trio.open_nursery() as running:
            for app in applications:
                running.start_soon(app.get("lifecycle").run)
        nursery.cancel_scope.cancel()


async def stop_on_signal(applications: list[Application]) -> None:
    """Begin a graceful stop when SIGTERM or SIGINT arrives."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _number in signals:
            for app in applications:
                app.get("lifecycle").stop()


async def run_daemon(settings: Settings) -> None:
    """Run the roles of one process until they have stopped."""
    applications = make_applications(settings)
    roles = ",".join(settings.roles())
    events.write(events.PROCESS_STARTED, process=settings.name, roles=roles)
    await run_applications(applications)
    events.write(events.PROCESS_STOPPED, process=settings.name)


def make_parser() -> argparse.ArgumentParser:
    """Return the daemon's argument parser."""
    parser = argparse.ArgumentParser(
        prog="rattanwingd", description="Run one rattanwing process.", epilog=EXAMPLE
    )
    parser.add_argument("--version", action="version", version=__version__)
    group = parser.add_mutually_exclusive_group(required=True)
    group.add_argument(
        "--settings", type=Path, help="JSON file with the settings of this process"
    )
    group.add_argument(
        "--embedded",
        action="store_true",
        help="run entry and agent in one process, with stand-ins for log, executor and "
        "worker, and a demo of one request and one job",
    )
    parser.add_argument(
        "--http",
        help="with --embedded: ip:port for callers and operators; "
        "default a free port on 127.0.0.1",
    )
    parser.add_argument(
        "--once",
        action="store_true",
        help="with --embedded: stop after the demo; else ignored",
    )
    return parser


def main() -> int:
    """Run the daemon and return its exit code."""
    arguments = make_parser().parse_args()
    if arguments.embedded:
        from rattanwing.cmd.embedded import run_embedded

        events.configure(as_json=False, level="warning")
        trio.run(run_embedded, arguments.http, arguments.once)
        return EXIT_OK
    try:
        settings = load_settings(arguments.settings)
    except SettingsError as error:
        events.configure(as_json=False, level="info")
        for problem in error.problems:
            events.write(events.SETTINGS_REFUSED, problem=problem)
        return EXIT_SETTINGS
    events.configure(settings.logging.json, settings.logging.level)
    trio.run(run_daemon, settings)
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
