from __future__ import annotations

import random
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import msgspec
import trio
import trio.testing

from rattanwing.platform import main as platform_main
from rattanwing.platform.main import StopSignal, run_entry, watch_settings
from rattanwing.platform.operator import OPERATOR_TOPIC
from rattanwing.platform.settings import parse_settings
from rattanwing.standin.keyed_store import StandinStore
from rattanwing.util.http_server import call_handler
from tests.platform.test_adapter import CONFIG, JOB_ID, request
from tests.processes import call, wait_for

ROOT = Path(__file__).resolve().parent.parent.parent

ENTRY_SETTINGS = """
node = "front-1"
ip = "{ip}"
zone = "zone-a"
port_range = [{port},{port}]
[listen]
front = "{ip}:8161"
ready = "{ip}:8167"
[bounds]
grace_s = {grace_s}
[platform]
addr = "{ip}:8169"
"""


class ServedRequests:
    """Stands in for the HTTP servers; each request is one on an open connection.

    :param cut: requests whose connection ended without an answer: when they were sent
        and when it ended.
    :param statuses: status of each answer.
    """

    def __init__(self):
        self.handlers = {}
        self.cut = []
        self.statuses = []

    async def serve(self, server, address, wait_for_stop, grace_s, **_options):
        """Serve as :func:`rattanwing.util.http_server.serve_http` does."""
        route, *_ = server.routes
        async with trio.open_nursery() as connections:
            self.handlers[address] = route.handler, connections
            await wait_for_stop()
            del self.handlers[address]
            connections.cancel_scope.deadline = trio.current_time() + grace_s

    def send(self, address, made):
        """Send a request; return whether its connection was still open."""
        if address not in self.handlers:
            return False
        handler, connections = self.handlers[address]
        connections.start_soon(self.exchange, handler, made)
        return True

    async def exchange(self, handler, made):
        sent_at = trio.current_time()
        answered = False
        try:
            response = await call_handler(handler, made)
            answered = True
            self.statuses.append(response.status)
        finally:
            if not answered:
                self.cut.append((sent_at, trio.current_time()))


class StopTests(unittest.TestCase):
    def stop_entry(self, grace_s, method):
        """Stop an entry while requests come in; return them and its time to exit."""
        text = ENTRY_SETTINGS.format(ip="127.0.0.1", port=7720, grace_s=grace_s)
        settings = parse_settings(text.encode())
        store = StandinStore()
        config = msgspec.json.encode(CONFIG)
        store.topic(OPERATOR_TOPIC).put("config", config)
        served = ServedRequests()
        stop = StopSignal()
        headers = [(b"host", b"h.example")]
        body = b'{"steps":[{}]}' if method == "POST" else b""

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run_entry, settings, stop)
                await trio.sleep(3)
                # Reads are answered late, and appends not at all.
                store.slowdown = 400.0
                store.lose_answers = 10**6
                stop.requested.set()
                stopping_at = trio.current_time()
                number = 0
                while True:
                    job_id = f"{int(JOB_ID, 16) + number:016x}"
                    made = request(method, f"/q/{job_id}", body, headers)
                    if not served.send(settings.callers_address, made):
                        break
                    number += 1
                    await trio.sleep(0.05)
                while nursery.child_tasks:
                    await trio.sleep(0.01)
                return number, trio.current_time() - stopping_at

        with (
            mock.patch.object(platform_main, "serve_http", served.serve),
            mock.patch.object(platform_main, "steady_clock", trio.current_time),
            mock.patch.object(
                platform_main, "PlatformStore", lambda _address: store.client("front-1")
            ),
            mock.patch("rattanwing.peer.frames.serve_peers", serve_no_peers),
        ):
            clock = trio.testing.MockClock(autojump_threshold=0)
            number, took_s = trio.run(main, clock=clock)
        return served, number, took_s

    def test_requests_get_an_answer_while_an_entry_stops(self):
        """Guards against connections that end without an answer to a request."""
        for method in ("GET", "POST", "DELETE"):
            for grace_s in (2.0, 3.0, 4.0, 6.0, 12.0):
                with self.subTest(method=method, grace_s=grace_s):
                    served, number, took_s = self.stop_entry(grace_s, method)
                    self.assertEqual(served.cut, [])
                    self.assertEqual(len(served.statuses), number)
                    self.assertLess(took_s, grace_s)
                    self.assertLessEqual(set(served.statuses), {410, 503, 504})


async def serve_no_peers(_address, _accept, _admission, task_status):
    task_status.started()
    await trio.sleep_forever()


class SettingsWatchTests(unittest.TestCase):
    def test_change_while_the_process_starts(self):
        """Guards against settings that are missed, or a process that ends by them."""
        loaded = ENTRY_SETTINGS.format(ip="127.0.0.1", port=7720, grace_s=6).encode()
        settings = parse_settings(loaded)

        async def main(path):
            with trio.move_on_after(3.5):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(watch_settings, path, settings, loaded)
                    await trio.sleep(1.5)
                    self.assertEqual(settings.grace_s, 6)
                    path.write_bytes(loaded.replace(b"grace_s = 6", b"grace_s = 9"))

        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            clock = trio.testing.MockClock(autojump_threshold=0)
            trio.run(main, path, clock=clock)
            self.assertEqual(settings.grace_s, 9)
            settings.grace_s = 6
            clock = trio.testing.MockClock(autojump_threshold=0)
            trio.run(self.watch, path, settings, loaded, clock=clock)
            self.assertEqual(settings.grace_s, 9)

    async def watch(self, path, settings, loaded):
        with trio.move_on_after(1.5):
            await watch_settings(path, settings, loaded)


class SignalTests(unittest.TestCase):
    def test_changed_settings_while_the_modules_are_loaded(self):
        """Guards against a process that a signal ends before it handles signals."""
        script = (
            "import os, runpy, signal, sys\n"
            "class Finder:\n"
            "    def find_spec(self, name, *_):\n"
            "        if name == 'rattanwing.platform.main':\n"
            "            os.kill(os.getpid(), signal.SIGHUP)\n"
            "sys.meta_path.insert(0, Finder())\n"
            "sys.argv = ['platform', 'no-role']\n"
            "runpy.run_module('rattanwing.platform', run_name='__main__')\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", script], cwd=ROOT, timeout=60, capture_output=True
        )
        self.assertEqual(done.returncode, 2)

    def test_signals_after_the_request_to_stop(self):
        """Guards against a process that ends before its requests are answered."""
        ip = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}.9"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(ENTRY_SETTINGS.format(ip=ip, port=7720, grace_s=3))
            process = subprocess.Popen(
                [sys.executable, "-m", "rattanwing.platform", "entry"],
                cwd=ROOT,
                env={"RATTANWING_CONFIG": str(path)},
                stderr=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
            )
            try:
                ready = f"{ip}:8167", "GET", "/rattanwing/ready"
                wait_for(lambda: call(*ready)[0] == 503, "the entry listens")
                stopping_at = time.monotonic()
                for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                    process.send_signal(number)
                    time.sleep(0.2)
                self.assertEqual(process.wait(30), 0)
                self.assertGreater(time.monotonic() - stopping_at, 1.5)
            finally:
                process.kill()
                process.wait()
