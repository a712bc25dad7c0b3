"""The entry's HTTP server: operators' interface, health checks and metrics."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from rattanwing import events
from rattanwing.config.tree import ChangeRecord, Edit
from rattanwing.entry import callers
from rattanwing.errors import LogUnavailableError, MalformedError, RejectedError
from rattanwing.jobs.records import JobSpec
from rattanwing.util.codec import decode_json
from rattanwing.util.http_server import (
    HttpServer,
    Request,
    Response,
    error_response,
    json_response,
    metrics_response,
)
from rattanwing.util.schema import convert

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.jobs.records import Job

CHANGE_TIMEOUT_S = 5.0
"""Seconds to wait until a configuration change has been read back from the log."""

STATUS_BY_RULE = {"unknown-job": 404, "malformed-value": 400, "unknown-path": 400}
"""HTTP status by the rule that refused a record; 409 for every other rule."""

LIMIT = re.compile(r"[0-9]{1,9}")
"""A number of rows."""


class ChangeBody(msgspec.Struct):
    """Body of a configuration change.

    :param id: chosen by the client, so that a resend has no second effect.
    :param settle: apply the edits even if a node is no longer at the version ``base``
        of its edit; only the organisation's owner for the current month may set this.
    """

    id: str
    author: str
    edits: list[Edit]
    settle: bool = False


class OperatorInterface:
    """Serves ``/api``, ``/health`` and ``/metrics`` at an entry.

    :param stopping: whether health checks fail because the process stops.
    :param requests_drained: set once the HTTP server has closed after a stop.
    """

    __slots__ = ("app", "stopping", "requests_drained")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.stopping = False
        self.requests_drained = trio.Event()
        app.connect("stopping", self.start_failing_health)

    def start_failing_health(self) -> None:
        """Answer health checks with 503 from now on."""
        self.stopping = True

    def make_server(self) -> HttpServer:
        """Return the entry's HTTP server with every route."""
        server = HttpServer()
        callers.add_routes(self.app, server)
        server.route("GET", "/health", self.health)
        server.route("GET", "/metrics", self.metrics)
        server.route("GET", "/api/status", self.status)
        server.route("GET", "/api/config", self.config)
        server.route("POST", "/api/config", self.change_config)
        server.route("GET", r"/api/changes/(?P<id>[\w.-]+)", self.show_change)
        server.route("GET", "/api/audit", self.audit)
        server.route("GET", "/api/jobs", self.list_jobs)
        server.route("POST", "/api/jobs", self.submit_job)
        job = r"/api/jobs/(?P<job>[A-Za-z0-9._-]+)"
        server.route("GET", job, self.show_job)
        server.route("DELETE", job, self.cancel_job)
        server.route("POST", job + "/resume", self.resume_job)
        server.route("GET", "/api/workers", self.workers)
        server.route("GET", "/api/services", self.services)
        server.route("GET", "/api/domains", self.domains)
        return server

    async def health(self, _request: Request) -> Response:
        """Report to the platform's load balancer whether to send callers here."""
        if self.stopping:
            return error_response(503, "stopping", "the entry is stopping")
        return json_response(200, {"status": "ok"})

    async def metrics(self, _request: Request) -> Response:
        """Return the metrics as text for Prometheus."""
        return metrics_response(self.app.get("metrics").render())

    async def status(self, _request: Request) -> Response:
        """Return a summary of this entry."""
        now = self.app.now()
        config = self.app.get("config")
        states: dict[str, int] = {}
        for job in self.app.get("shards").all_jobs():
            states[job.state] = states.get(job.state, 0) + 1
        return json_response(
            200,
            {
                "entry": self.app.settings.name,
                "failure_domain": self.app.settings.failure_domain,
                "log_available": config.stream.available,
                "config_version": config.tree.last_change_version,
                "config_age_s": round(config.age_s(now), 3),
                "agents": len(self.app.get("agents").connected_agents()),
                "owned_shards": [
                    lease.shard for lease in self.app.get("ownership").owned_leases(now)
                ],
                "jobs": states,
                "latencies": self.app.get("metrics").summary(),
            },
        )

    async def config(self, _request: Request) -> Response:
        """Return the configuration tree with the versions of its nodes."""
        config = self.app.get("config")
        body = {"version": config.tree.last_change_version, "nodes": config.tree.nodes}
        return json_response(200, body)

    async def change_config(self, request: Request) -> Response:
        """Append a change and answer once it has been read back and folded."""
        try:
            body = decode_json(request.body, ChangeBody)
        except MalformedError as error:
            return error_response(400, "malformed-change", str(error))
        change = ChangeRecord(body.id, body.author, body.edits, body.settle)
        stream = self.app.get("config").stream
        try:
            outcome = await stream.commit(
                body.id, msgspec.json.encode(change), CHANGE_TIMEOUT_S
            )
        except LogUnavailableError as error:
            return error_response(504, "unconfirmed", str(error))
        if outcome.accepted or outcome.rule == "duplicate":
            return json_response(200, {"accepted": True, "version": outcome.offset + 1})
        status = STATUS_BY_RULE.get(outcome.rule, 409)
        return error_response(status, outcome.rule, outcome.detail)

    async def show_change(self, request: Request) -> Response:
        """Return the verdict on a change, for clients that missed the answer."""
        verdict = self.app.get("config").tree.verdicts.get(request.match["id"])
        if verdict is None:
            return error_response(404, "unknown-change", request.match["id"])
        return json_response(200, {"id": request.match["id"], "verdict": verdict})

    async def audit(self, request: Request) -> Response:
        """Return the newest rows of the audit trail, oldest first."""
        text = request.query.get("limit", "50")
        if LIMIT.fullmatch(text) is None:
            return error_response(400, "malformed-limit", f"{text!r} is no number")
        rows = self.app.get("config").tree.audit
        return json_response(200, rows[-int(text) :] if int(text) else [])

    async def list_jobs(self, request: Request) -> Response:
        """Return jobs, filtered by ``team`` and ``state``."""
        filters = {k: request.query[k] for k in ("team", "state") if k in request.query}
        rows = [job_row(job) for job in self.app.get("shards").all_jobs()]
        rows = [r for r in rows if all(r[k] == v for k, v in filters.items())]
        return json_response(200, rows)

    async def submit_job(self, request: Request) -> Response:
        """Submit a job and answer once its record has been read back."""
        try:
            value = decode_json(request.body)
        except MalformedError as error:
            return error_response(400, "malformed-job", str(error))
        spec, problems = convert(JobSpec, value)
        if problems:
            return error_response(400, "malformed-job", "; ".join(problems))
        return await self.commit_response(
            self.app.get("shards").submit(spec), {"accepted": True, "job": spec.id}
        )

    async def show_job(self, request: Request) -> Response:
        """Return one job."""
        job = self.app.get("shards").find(request.match["job"])
        if job is None:
            return error_response(404, "unknown-job", request.match["job"])
        return json_response(200, job_row(job))

    async def cancel_job(self, request: Request) -> Response:
        """Request the cancellation of a job."""
        author = request.query.get("author", "unknown")
        job = request.match["job"]
        cancel = self.app.get("shards").cancel(job, author)
        return await self.commit_response(cancel, {"cancelled": True, "job": job})

    async def resume_job(self, request: Request) -> Response:
        """Let a held job run again."""
        author = request.query.get("author", "unknown")
        job = request.match["job"]
        resume = self.app.get("shards").resume(job, author)
        return await self.commit_response(resume, {"resumed": True, "job": job})

    async def commit_response(self, commit: Any, body: dict[str, Any]) -> Response:
        """Await a commit and return its HTTP response, with ``body`` on success."""
        try:
            await commit
        except RejectedError as error:
            status = STATUS_BY_RULE.get(error.rule, 409)
            return error_response(status, error.rule, error.detail)
        except LogUnavailableError as error:
            return error_response(504, "unconfirmed", str(error))
        return json_response(200, body)

    async def workers(self, _request: Request) -> Response:
        """Return the workers that agents announced."""
        now = self.app.now()
        quarantine = self.app.get("quarantine")
        rows = []
        for handle in self.app.get("agents").agents.values():
            if handle.hello.worker is None:
                continue
            heartbeat, worker = handle.heartbeat, handle.hello.worker
            rows.append(
                {
                    "worker": handle.name,
                    "failure_domain": handle.hello.failure_domain,
                    "rack": worker.rack,
                    "connected": handle.is_responsive(now),
                    "leaving": heartbeat.leaving,
                    "quarantined": quarantine.is_quarantined(handle.name, now),
                    "cpu": worker.cpu,
                    "free_cpu": heartbeat.free_cpu,
                    "used_cpu": heartbeat.used_cpu,
                    "memory_mb": worker.memory_mb,
                    "free_memory_mb": heartbeat.free_memory_mb,
                }
            )
        return json_response(200, rows)

    async def services(self, _request: Request) -> Response:
        """Return the declared and the announced services, with their executors."""
        now = self.app.now()
        rows: dict[str, dict[str, Any]] = {
            name: {"service": name, "declared": True, "executors": []}
            for name in self.app.get("config").tree.services()
        }
        for handle in self.app.get("agents").agents.values():
            if handle.hello.executor is None:
                continue
            name = handle.hello.executor.service
            row = rows.setdefault(
                name, {"service": name, "declared": False, "executors": []}
            )
            row["executors"].append(
                {
                    "agent": handle.name,
                    "failure_domain": handle.hello.failure_domain,
                    "connected": handle.is_responsive(now),
                    "reachable": handle.heartbeat.executor_reachable,
                    "leaving": handle.heartbeat.leaving,
                    "slots": handle.hello.executor.slots,
                    "busy": handle.heartbeat.busy,
                    "queued": handle.heartbeat.queued,
                }
            )
        return json_response(200, list(rows.values()))

    async def domains(self, _request: Request) -> Response:
        """Return the failure domains that are declared or that agents announced."""
        tree = self.app.get("config").tree
        domains_out = set(tree.domains_out())
        names = {path.rpartition("/")[2] for path in tree.nodes if "domains/" in path}
        agents = self.app.get("agents").agents.values()
        names |= {handle.hello.failure_domain for handle in agents}
        rows = [
            {
                "failure_domain": name,
                "state": "out" if name in domains_out else "in",
                "version": tree.version(f"failure-domains/{name}"),
                "agents": sum(h.hello.failure_domain == name for h in agents),
            }
            for name in sorted(names)
        ]
        return json_response(200, rows)

    async def run(self) -> None:
        """Serve HTTP until the process is asked to stop, then finish open requests.

        The listener stays open for ``drain_s`` after the request to stop, while
        health checks already fail, so that the load balancer stops using this entry.
        """
        settings = self.app.settings.entry

        async def wait_for_stop() -> None:
            await self.app.get("lifecycle").stop_requested.wait()
            await trio.sleep(settings.drain_s)

        async with trio.open_nursery() as nursery:
            binds = await nursery.start(
                self.app.get("serve_http"),
                self.make_server(),
                settings.http,
                wait_for_stop,
                settings.stop_grace_s,
            )
            events.write(events.LISTENING, role="entry", http=binds[0])
            self.app.emit("entry-listening", binds[0])
        self.requests_drained.set()

    async def drain(self) -> None:
        """Wait until the HTTP server has closed, then release the owned shards.

        Called when the process stops. The server closes ``drain_s`` seconds after the
        request to stop, or later if requests are still open, see :meth:`run`.
        """
        await self.requests_drained.wait()
        await self.app.get("ownership").release_all()


def job_row(job: Job) -> dict[str, Any]:
    """Return the fields of a job that operators see."""
    return {
        "job": job.spec.id,
        "team": job.spec.team,
        "state": job.state,
        "urgency": job.spec.urgency,
        "attempt": job.attempt,
        "worker": job.worker,
        "reason": job.reason,
        "checkpoint": job.checkpoint,
        "failures": job.failures,
        "submitted_at": job.submitted_at,
        "ended_at": job.ended_at,
        "cpu": job.spec.cpu,
        "memory_mb": job.spec.memory_mb,
    }


def setup(app: Application) -> None:
    """Register the service ``operators`` and its background task."""
    service = OperatorInterface(app)
    app.add_service("operators", service)
    app.add_task(service.run)
    app.get("lifecycle").drains.append(service.drain)
