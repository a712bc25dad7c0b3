"""Reports of ended attempts, kept until an owner has recorded them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing.messages import ReportAck, TaskReport

if TYPE_CHECKING:
    from rattanwing.application import Application

CHECK_INTERVAL_S = 0.5
RESEND_INTERVAL_S = 2.0


class ReportOutbox:
    """Sends each report to every entry, again and again until one has it.

    Emits ``report-recorded(job, attempt)`` when the log holds the record.

    :param pending: reports by job and attempt.
    """

    __slots__ = ("app", "pending", "last_sent_at")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.pending: dict[tuple[str, int], TaskReport] = {}
        self.last_sent_at: dict[tuple[str, int], float] = {}
        app.connect("entry-message", self.handle_message)
        app.connect("entry-connected", self.send_all)

    def add(self, report: TaskReport) -> None:
        """Keep a report and send it to every entry."""
        key = (report.job, report.attempt)
        self.pending[key] = report
        self.last_sent_at[key] = self.app.now()
        self.app.get("connector").broadcast(report)

    def list_for_shard(self, shard: int) -> list[TaskReport]:
        """Return the kept reports of one shard."""
        return [report for report in self.pending.values() if report.shard == shard]

    def send_all(self, entry: str) -> None:
        """Send every kept report to an entry that has just connected."""
        for report in self.pending.values():
            self.app.get("connector").send(entry, report)

    async def run(self) -> None:
        """Repeat what no owner has recorded until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.resend_due(self.app.now())

    def resend_due(self, now: float) -> None:
        """Send again the reports that are due."""
        for key, report in self.pending.items():
            if now - self.last_sent_at[key] >= RESEND_INTERVAL_S:
                self.last_sent_at[key] = now
                self.app.get("connector").broadcast(report)

    def handle_message(self, _entry: str, message: object) -> None:
        """Drop a report whose record stands in the log."""
        if not isinstance(message, ReportAck):
            return
        key = (message.job, message.attempt)
        if self.pending.pop(key, None) is None:
            return
        del self.last_sent_at[key]
        self.app.emit("report-recorded", message.job, message.attempt)


def setup(app: Application) -> None:
    """Register the service ``reports`` and its task."""
    outbox = ReportOutbox(app)
    app.add_service("reports", outbox)
    app.add_task(outbox.run)
