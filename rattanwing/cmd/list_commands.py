"""Commands that show services, workers, the state of an entry and the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.helpers import option

from rattanwing.cmd.base import EXIT_OK, BaseCommand
from rattanwing.cmd.output import to_json, to_table, to_time

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option


class ServiceListCommand(BaseCommand):
    """Lists services and their executors."""

    name = "service list"
    description = "List services and their executors"
    example = "service list"

    def run_command(self) -> int:
        """Print one row for each executor."""
        services = self.make_client().get("/api/services")
        if self.wants_json():
            self.line(to_json(services))
            return EXIT_OK
        columns = ["service", "agent", "failure_domain", "connected", "reachable"]
        columns += ["leaving", "slots", "busy", "queued"]
        rows = [
            {"service": service["service"], **executor}
            for service in services
            for executor in service["executors"] or [{}]
        ]
        return self.print_rows(rows, columns)


class WorkerListCommand(BaseCommand):
    """Lists workers."""

    name = "worker list"
    description = "List workers"
    example = "worker list"

    def run_command(self) -> int:
        """Print the workers."""
        columns = ["worker", "failure_domain", "rack", "connected", "leaving"]
        columns += ["quarantined", "cpu", "free_cpu", "memory_mb", "free_memory_mb"]
        return self.print_rows(self.make_client().get("/api/workers"), columns)


class StatusCommand(BaseCommand):
    """Shows the status of an entry."""

    name = "status"
    description = "Show the status of an entry"
    example = "status --entry 127.0.0.1:8080"

    def run_command(self) -> int:
        """Print the status and the latencies by service and class."""
        status = self.make_client().get("/api/status")
        if self.wants_json():
            self.line(to_json(status))
            return EXIT_OK
        latencies = status.pop("latencies")
        rows = [{"field": key, "value": value} for key, value in status.items()]
        self.line(to_table(rows, ["field", "value"]))
        self.line("")
        columns = ["service", "class", "count", "p50_ms", "p99_ms"]
        return self.print_rows(latencies, columns)


class AuditCommand(BaseCommand):
    """Shows the audit trail of the configuration."""

    name = "audit"
    description = "Show changes with author, old and new value, and verdict"
    example = "audit --limit 20"

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return [
            option(
                "limit", None, "number of newest rows to show", flag=False, default="50"
            )
        ]

    def run_command(self) -> int:
        """Print the audit trail, oldest first."""
        rows = self.make_client().get(f"/api/audit?limit={self.option('limit')}")
        if self.wants_json():
            self.line(to_json(rows))
            return EXIT_OK
        for row in rows:
            row["time"] = to_time(row["time"])
            row["verdict"] = row["rule"] or "accepted"
        columns = ["offset", "time", "author", "path", "old", "new", "verdict"]
        return self.print_rows(rows, columns)
