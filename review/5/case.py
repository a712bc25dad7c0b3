"""A request that is read shortly before an entry's servers stop is cut off."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment import HOST, PREFIX, Deployment, run  # noqa: E402
from standins import read_message  # noqa: E402

CLIENTS = 20
SENT_AFTER_S = (2.00, 2.15)  # after the SIGTERM; grace_s is 6
LOSS_SLACK_S = 0.2
DEADLINE_S = 3.0
ENTRY = "front-2"


class Client:
    """A client with one connection that stays open between requests."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.number = number
        self.reader = None
        self.writer = None

    async def connect(self):
        node = self.deployment.entries[ENTRY]
        self.reader, self.writer = await asyncio.open_connection(
            node.ip, self.deployment.port + 1
        )

    async def get(self, path):
        """Return the status, and None if the connection ended without an answer."""
        head = f"GET {path} HTTP/1.1\r\nhost: {HOST}\r\n"
        head += f"rattanwing-deadline-ms: {int(DEADLINE_S * 1000)}\r\n\r\n"
        self.writer.write(head.encode())
        try:
            message = await asyncio.wait_for(read_message(self.reader), DEADLINE_S)
        except (ConnectionError, asyncio.IncompleteReadError):
            return None
        except TimeoutError:
            return 0
        return message and int(message[0].split(" ")[1])

    async def ask(self, sent_at):
        """Ask for a job that no entry knows; return whether the answer was cut off."""
        await asyncio.sleep(max(0.0, sent_at - time.monotonic()))
        job = self.deployment.new_id()
        began_at = time.monotonic()
        status = await self.get(PREFIX + job)
        took_s = time.monotonic() - began_at
        cut = status is None and took_s > LOSS_SLACK_S
        result = "no answer, the connection ended" if status is None else status
        self.deployment.record(
            f"client {self.number} GET {job}: {result} after {took_s:.3f} s"
        )
        return cut


async def main():
    deployment = Deployment(HERE / "record.txt")
    try:
        await deployment.start()
        await asyncio.sleep(3.5)  # contact_ms without any disruption
        clients = [Client(deployment, number) for number in range(CLIENTS)]
        for client in clients:
            await client.connect()
            await client.get(PREFIX)
        term_at = time.monotonic()
        if deployment.trouble:
            deployment.entries[ENTRY].signal(signal.SIGTERM)
            deployment.record(f"SIGTERM to {ENTRY}")
        first, last = SENT_AFTER_S
        step = (last - first) / CLIENTS
        async with asyncio.TaskGroup() as group:
            asks = [
                group.create_task(client.ask(term_at + first + step * number))
                for number, client in enumerate(clients)
            ]
        cut = sum(ask.result() for ask in asks)
        deployment.record(f"{cut} of {CLIENTS} requests were cut off")
        if deployment.trouble:
            process = deployment.entries[ENTRY].process
            code = await asyncio.wait_for(process.wait(), 10)
            spent_s = time.monotonic() - term_at
            deployment.record(f"{ENTRY} ended with {code}, {spent_s:.3f} s after it")
        return cut > 0
    finally:
        await deployment.close()


run(main)
