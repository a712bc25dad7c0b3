"""Reports of ended and refused attempts, kept until recorded in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing.messages import ReportAck, TaskReport

if TYPE_CHECKING:
    from rattanwing.application import Application

CHECK_INTERVAL_S = 0.5
"""Interval of the checks for reports to resend."""

RESEND_INTERVAL_S = 2.0
"""Time after which an unconfirmed report is sent again."""


class ReportOutbox:
    """Sends each report to every entry until the shard's owner has recorded it.

    Emits ``report-recorded(job, attempt)`` once the report is recorded in the log.

    :param pending: reports that are not yet recorded, by job and attempt.
    :param last_sent_at: time of the last broadcast, by job and attempt.
    """

    __slots__ = ("app", "pending", "last_sent_at")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.pending: dict[tuple[str, int], TaskReport] = {}
        self.last_sent_at: dict[tuple[str, int], float] = {}
        app.connect("entry-message", self.handle_message)
        app.connect("entry-connected", self.send_all)

    def add(self, report: TaskReport) -> None:
        """Add a report and send it to every connected entry."""
        key = (report.job, report.attempt)
        self.pending[key] = report
        self.last_sent_at[key] = self.app.now()
        self.app.get("connector").broadcast(report)

    def list_for_shard(self, shard: int) -> list[TaskReport]:
        """Return the pending reports of one shard."""
        return [report for report in self.pending.values() if report.shard == shard]

    def send_all(self, entry: str) -> None:
        """Send every pending report to a newly connected entry."""
        for report in self.pending.values():
            self.app.get("connector").send(entry, report)

    async def run(self) -> None:
        """Resend pending reports until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.resend_due(self.app.now())

    def resend_due(self, now: float) -> None:
        """Resend the reports last sent ``RESEND_INTERVAL_S`` ago or earlier."""
        for key, report in self.pending.items():
            if now - self.last_sent_at[key] >= RESEND_INTERVAL_S:
                self.last_sent_at[key] = now
                self.app.get("connector").broadcast(report)

    def handle_message(self, _entry: str, message: object) -> None:
        """Drop a report when an entry confirms that it is recorded in the log."""
        if not isinstance(message, ReportAck):
            return
        key = (message.job, message.attempt)
        if self.pending.pop(key, None) is None:
            return
        del self.last_sent_at[key]
        self.app.emit("report-recorded", message.job, message.attempt)


def setup(app: Application) -> None:
    """Register the service ``reports`` and its background task."""
    outbox = ReportOutbox(app)
    app.add_service("reports", outbox)
    app.add_task(outbox.run)
