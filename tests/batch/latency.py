"""Streams and announcements that take time, in the simulated deployment."""

from __future__ import annotations

import trio

from rattanwing.peer.stream import memory_stream_pair

LONG_DELAY_SHARE = 0.02
MAX_LONG_DELAY_S = 1.0
MAX_NOTICE_S = 3.0
LOST_SHARE = 0.1
LATE_SHARE = 0.1
MAX_LATE_S = 3.0
ANNOUNCEMENT_INTERVAL_S = 1.0


class Delays:
    """The random delays of one direction of a stream, or of one caller's calls.

    :param mean_s: mean of most delays; some are much longer.
    """

    def __init__(self, random, means_s=(0.001, 0.004, 0.015)):
        self.random = random
        self.mean_s = random.choice(means_s)

    def draw(self):
        if self.random.random() < LONG_DELAY_SHARE:
            return self.random.uniform(0.03, MAX_LONG_DELAY_S)
        return self.random.expovariate(1 / self.mean_s)


class Link:
    """What both ends of a stream share.

    :param cut: whether messages no longer arrive; no end has to know of it.
    """

    def __init__(self):
        self.cut = False


class DelayedStream:
    """One end of a stream whose messages arrive late, but in order."""

    def __init__(self, stream, link, delays):
        self.stream = stream
        self.link = link
        self.delays = delays
        self.last_due_at = 0.0

    async def send(self, data):
        due_at = trio.current_time() + self.delays.draw()
        self.last_due_at = max(self.last_due_at, due_at)
        await self.stream.send((self.last_due_at, data))

    async def send_batch(self, batch):
        for data in batch:
            await self.send(data)

    async def receive(self):
        due_at, data = await self.stream.receive()
        await trio.sleep_until(due_at)
        if self.link.cut:
            await trio.sleep_forever()
        return data

    async def aclose(self):
        await self.stream.aclose()


def delayed_stream_pair(random):
    """Return both ends of a new stream with delays, and the link between them."""
    link = Link()
    near_side, far_side = memory_stream_pair()
    return (
        DelayedStream(near_side, link, Delays(random)),
        DelayedStream(far_side, link, Delays(random)),
        link,
    )


class ExecutorAnnouncements:
    """An executor's announcements, of which some are late or lost.

    :param deliver: called with the view and its number; later announcements of an
        executor have greater numbers.
    """

    def __init__(self, executor, random, deliver):
        self.executor = executor
        self.random = random
        self.deliver = deliver

    async def run(self, nursery):
        """Announce the executor when it starts, and then at its interval."""
        number = 0
        while True:
            incarnation_started = self.executor.incarnation_started
            if self.executor.up:
                number += 1
                nursery.start_soon(self.announce, self.executor.view(), number)
            with trio.move_on_after(
                ANNOUNCEMENT_INTERVAL_S * self.random.uniform(0.8, 1.2)
            ):
                await incarnation_started.wait()

    async def announce(self, view, number):
        """Deliver one announcement, unless it is lost."""
        fate = self.random.random()
        if fate < LOST_SHARE:
            return
        if fate < LOST_SHARE + LATE_SHARE:
            await trio.sleep(self.random.uniform(0.05, MAX_LATE_S))
        else:
            await trio.sleep(self.random.expovariate(1 / 0.003))
        self.deliver(view, number)
