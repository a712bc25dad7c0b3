"""Dispatch of callers' requests to executors: attempts, retries and verdicts."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import msgspec
import trio

from rattanwing import events, messages
from rattanwing.entry import router
from rattanwing.errors import PeerLostError
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.entry.agents import AgentHandle

VERDICT_GRACE_S = 0.25
"""Seconds past the deadline to wait for an answer; the agent ends a request at its
deadline, and its verdict still has to arrive."""

MAX_ATTEMPTS = 4
"""Largest number of executors that one request is sent to."""

RETRY_BUDGET_MAX = 50.0
"""Retries that a service can save up; its budget starts full."""

RETRY_TOKENS_PER_REQUEST = 0.2
"""Retries that each request adds to its service's budget, which limits retries to a
fifth of the requests over time."""

EXECUTOR_POLL_INTERVAL_S = 0.05
"""Seconds between two looks for an executor while a service has none."""


class CallerRequest(msgspec.Struct):
    """A caller's request, ready for dispatch.

    :param priority: lower numbers go first.
    :param deadline: monotonic seconds, on this process's clock.
    :param idempotent: whether a second execution is harmless.
    :param target: HTTP request target as the executor receives it.
    """

    service: str
    request_class: str
    priority: int
    deadline: float
    idempotent: bool
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class OpenAttempt:
    """One attempt at a request, waiting for its answer.

    :param incarnation: the agent process that the attempt is sent to; a restarted
        agent has another one.
    """

    __slots__ = ("request_id", "agent", "incarnation", "idempotent", "done", "answer")

    def __init__(self, request_id: str, handle: AgentHandle, idempotent: bool) -> None:
        self.request_id = request_id
        self.agent = handle.name
        self.incarnation = handle.hello.incarnation
        self.idempotent = idempotent
        self.done = trio.Event()
        self.answer: messages.ServiceAnswer | None = None

    def resolve(self, answer: messages.ServiceAnswer) -> None:
        """Set the answer and wake the waiting coroutine; only the first one counts."""
        if self.answer is None:
            self.answer = answer
            self.done.set()


class RetryBudget:
    """Token bucket that limits a service's retries to a share of its requests."""

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens = RETRY_BUDGET_MAX

    def deposit(self) -> None:
        """Add the tokens for one new request."""
        self.tokens = min(RETRY_BUDGET_MAX, self.tokens + RETRY_TOKENS_PER_REQUEST)

    def try_withdraw(self) -> bool:
        """Withdraw the token for one retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Dispatcher:
    """Sends requests to agents and determines the answers.

    :param open_attempts: attempts without an answer, by request id.
    :param request_id_prefix: unique to this run of the process.
    :param budgets: retry budgets by service.
    """

    __slots__ = ("app", "open_attempts", "request_id_prefix", "sequence", "budgets")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.open_attempts: dict[str, OpenAttempt] = {}
        self.request_id_prefix = f"{app.settings.name}-{uuid.uuid4().hex[:8]}"
        self.sequence = 0
        self.budgets: dict[str, RetryBudget] = {}
        app.connect("agent-message", self.handle_message)
        app.connect("agent-connected", self.query_open_attempts)
        app.connect("agent-lost", self.fail_idempotent_attempts)

    async def dispatch(self, request: CallerRequest) -> messages.ServiceAnswer:
        """Return the answer to a request, with retries where they are safe.

        A refused attempt is retried on another executor; an attempt whose answer
        was lost is retried only if the request is idempotent.
        """
        budget = self.budgets.setdefault(request.service, RetryBudget())
        budget.deposit()
        tried: set[str] = set()
        answer = not_run_answer("", "no-executor")
        while len(tried) < MAX_ATTEMPTS and self.app.now() < request.deadline:
            handle = await self.choose_executor(request, tried)
            if handle is None and not tried:
                self.report_no_executor(request)
            if handle is None or (tried and not budget.try_withdraw()):
                break
            tried.add(handle.name)
            answer = combine_answers(answer, await self.attempt(request, handle))
            if not may_retry(request, answer):
                break
        return answer

    def report_no_executor(self, request: CallerRequest) -> None:
        """Write what is known of the agents that announced the service."""
        now = self.app.now()
        agents = {
            handle.name: {
                "silent_s": round(now - handle.last_heard_at, 2),
                "connected": handle.is_connected(),
                "reachable": handle.heartbeat.executor_reachable,
                "leaving": handle.heartbeat.leaving,
            }
            for handle in self.app.get("agents").agents.values()
            if handle.hello.executor is not None
            and handle.hello.executor.service == request.service
        }
        events.write(
            events.REQUEST_WITHOUT_EXECUTOR, service=request.service, agents=agents
        )

    async def choose_executor(
        self, request: CallerRequest, tried: set[str]
    ) -> AgentHandle | None:
        """Return an executor that was not tried yet, or ``None``.

        Before the first attempt, wait until the service has an executor, at most
        until the deadline.
        """
        agents = self.app.get("agents")
        while True:
            now = self.app.now()
            domains_out = self.app.get("config").tree.domains_out()
            candidates = router.candidates(
                list(agents.agents.values()), request.service, domains_out, now
            )
            handle = router.choose(
                candidates,
                self.app.settings.failure_domain,
                tried,
                self.app.get("interference"),
                now,
                self.app.random,
            )
            if handle is not None or tried or candidates:
                return handle
            if now + EXECUTOR_POLL_INTERVAL_S >= request.deadline:
                return None
            await trio.sleep(EXECUTOR_POLL_INTERVAL_S)

    async def attempt(
        self, request: CallerRequest, handle: AgentHandle
    ) -> messages.ServiceAnswer:
        """Send one attempt and wait for its answer."""
        self.sequence += 1
        request_id = f"{self.request_id_prefix}-{self.sequence}"
        now = self.app.now()
        left_s = request.deadline - now
        message = messages.ServiceRequest(
            request_id,
            request.service,
            request.priority,
            left_s,
            request.method,
            request.target,
            request.headers,
            request.body,
        )
        attempt = OpenAttempt(request_id, handle, request.idempotent)
        self.open_attempts[request_id] = attempt
        handle.in_flight += 1
        try:
            handle.send(message)
            with trio.move_on_after(left_s + VERDICT_GRACE_S):
                await attempt.done.wait()
        except PeerLostError:
            return not_run_answer(request_id, "agent-lost")
        finally:
            handle.in_flight -= 1
            del self.open_attempts[request_id]
        if attempt.answer is None:
            events.write(
                events.REQUEST_OUTCOME_UNKNOWN, request=request_id, agent=handle.name
            )
            return may_have_run_answer(request_id, "timeout")
        if attempt.answer.verdict == Verdict.RAN.value:
            self.app.get("interference").record_service_time(
                handle.name,
                request.request_class,
                attempt.answer.service_s,
                self.app.now(),
            )
        return attempt.answer

    def handle_message(self, handle: AgentHandle, message: messages.Message) -> None:
        """Resolve the attempt that an answer belongs to; ignore other messages."""
        if not isinstance(message, messages.ServiceAnswer):
            return
        attempt = self.open_attempts.get(message.request_id)
        if attempt is not None and attempt.agent == handle.name:
            attempt.resolve(message)

    def query_open_attempts(self, handle: AgentHandle) -> None:
        """Ask a reconnected agent for the answers to attempts on its lost stream.

        A restarted agent no longer has them, so those attempts may have run.
        """
        request_ids = []
        for attempt in self.attempts_of(handle):
            if attempt.incarnation == handle.hello.incarnation:
                request_ids.append(attempt.request_id)
            else:
                attempt.resolve(
                    may_have_run_answer(attempt.request_id, "agent-restarted")
                )
        if request_ids:
            handle.send(messages.OutcomeQuery(request_ids))

    def fail_idempotent_attempts(self, handle: AgentHandle) -> None:
        """Fail the idempotent attempts at a lost agent, so they are retried at once."""
        for attempt in self.attempts_of(handle):
            if attempt.idempotent:
                attempt.resolve(may_have_run_answer(attempt.request_id, "agent-lost"))

    def attempts_of(self, handle: AgentHandle) -> list[OpenAttempt]:
        """Return the open attempts at one agent."""
        return [a for a in self.open_attempts.values() if a.agent == handle.name]


def may_retry(request: CallerRequest, answer: messages.ServiceAnswer) -> bool:
    """Return whether another attempt is safe after this answer."""
    match Verdict(answer.verdict):
        case Verdict.NOT_RUN:
            return True
        case Verdict.MAY_HAVE_RUN:
            return request.idempotent
        case Verdict.RAN:
            return False


def combine_answers(
    earlier: messages.ServiceAnswer, latest: messages.ServiceAnswer
) -> messages.ServiceAnswer:
    """Return the answer to a request after a further attempt.

    If an earlier attempt may have run, a later refusal does not change that.
    """
    if latest.verdict != Verdict.NOT_RUN.value:
        return latest
    return earlier if earlier.verdict == Verdict.MAY_HAVE_RUN.value else latest


def not_run_answer(request_id: str, reason: str) -> messages.ServiceAnswer:
    """Return the answer for a request that did not run."""
    return messages.ServiceAnswer(request_id, Verdict.NOT_RUN.value, reason)


def may_have_run_answer(request_id: str, reason: str) -> messages.ServiceAnswer:
    """Return the answer for a request that may have run."""
    return messages.ServiceAnswer(request_id, Verdict.MAY_HAVE_RUN.value, reason)


def setup(app: Application) -> None:
    """Register the service ``dispatch``."""
    app.add_service("dispatch", Dispatcher(app))
