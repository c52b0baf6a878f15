"""Callers and operators that retry through failures, for tests of failures.

A caller takes a ticket and submits the job, at any entry, until it gets a final
answer. Some callers also submit twice at once or cancel. All answers are kept for the
judge. Operators repeat each command under one id until it is answered:

    callers = traffic.Traffic(cluster, seed=7)
    await callers.run(3000)              # new jobs for 3 s, then their answers
    await callers.operate("drain zone a")
    callers.findings()
"""

import asyncio
import contextlib
import random
import secrets
import time

import aiohttp

from jujubeglade.bench import cluster as cluster_module
from jujubeglade.bench import judge
from jujubeglade.core import clock

_MEAN_GAP_MS = 15
_RETRY_INTERVAL_MS = 50
#: How long a job or a command is repeated before it counts as unanswered.
_RETRY_TIMEOUT_MS = 45_000
_DEADLINE_MS = 12_000
_REQUEST_TIMEOUT_MS = 8000
#: How long after its command was answered a revision must be in force everywhere.
_IN_FORCE_MS = 5000
_WATCH_INTERVAL_MS = 100
_TICKETS_PER_REQUEST = 20
_SHORT_RUN_MS = (5, 150)
_LONG_RUN_MS = (300, 900)


class Traffic:
    """The callers and operators of one cluster."""

    def __init__(self, cluster, seed, no_extra_requests=False):
        """Prepare callers; `run` starts them.

        Args:
          cluster: A Cluster that is ready.
          seed: An integer.
          no_extra_requests: A boolean; true sends no cancellation, and no
            resubmission while a submission waits for its answer.
        """
        self._cluster = cluster
        self._random = random.Random(seed)
        self._no_extra_requests = no_extra_requests
        self._tickets = []
        self._next_value = 0
        self._accepted_revisions = []
        self.jobs = []
        self.answers = []
        self.drains = []
        self.leaves = []
        self.broken_requests = []
        self.reverts = []

    async def run(self, duration_ms, alongside=None):
        """Submit new jobs for some time, then wait for all answers.

        Args:
          duration_ms: A number.
          alongside: An asyncio.Task or None; jobs are submitted until it has ended,
            too.
        """
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            watch = asyncio.create_task(self._watch(session))
            end_ms = _wall_ms() + duration_ms
            jobs = []
            while _wall_ms() < end_ms or alongside and not alongside.done():
                jobs.append(asyncio.create_task(self._run_job(session)))
                gap_ms = self._random.expovariate(1 / _MEAN_GAP_MS)
                await asyncio.sleep(clock.seconds(gap_ms))
            try:
                await asyncio.gather(*jobs)
            finally:
                watch.cancel()

    async def operate(self, text):
        """Run an operator's command, repeated under its id until it is answered.

        Args:
          text: A string, the command.

        Returns:
          A string, the status reached, the kind of the refusal, or `unanswered`.
        """
        command = {"id": f"command-{secrets.token_hex(6)}", "text": text}
        token = self._random.choice(list(cluster_module.OPERATOR_TOKENS.values()))
        end_ms = _wall_ms() + _RETRY_TIMEOUT_MS
        async with aiohttp.ClientSession() as session:
            while _wall_ms() < end_ms:
                answer = await self._post(session, "/v1/commands", command, token)
                kind = answer and answer.get("status", answer.get("kind"))
                if kind in ("accepted", "in_force"):
                    self._accepted_revisions.append((_wall_ms(), answer["revision"]))
                    return kind
                if kind in ("conflict", "syntax", "bad_request"):
                    return kind
                await asyncio.sleep(clock.seconds(_RETRY_INTERVAL_MS))
        return "unanswered"

    async def drain(self, zone, duration_ms):
        """Drain a zone for some time, restore it, and record the period.

        Args:
          zone: A string.
          duration_ms: A number.
        """
        command = f"drain zone {zone}"
        while await self.operate(command) not in ("accepted", "in_force"):
            # On a busy machine too few entries may have confirmed in time.
            await asyncio.sleep(clock.seconds(_RETRY_INTERVAL_MS))
        begin_ms = _wall_ms()
        await asyncio.sleep(clock.seconds(duration_ms))
        self.drains.append(judge.Absence(zone, begin_ms, _wall_ms()))
        while await self.operate(f"restore zone {zone}") == "conflict":
            await asyncio.sleep(clock.seconds(_RETRY_INTERVAL_MS))

    def findings(self, allow_restarts=True):
        """Judge all starts and answers so far.

        Args:
          allow_restarts: A boolean, whether a repeatable task may start again, as
            after a fault.

        Returns:
          A list of judge.Findings.
        """
        return judge.examine(
            judge.Evidence(
                tuple(self._cluster.starts()),
                tuple(self.jobs),
                tuple(self.answers),
                tuple(self.drains),
                tuple(self.leaves),
                not allow_restarts,
            )
        )

    def failed(self):
        """Count the jobs that were answered as failed.

        Returns:
          An integer.
        """
        return len({answer.key for answer in self.answers if answer.state == "failed"})

    async def _run_job(self, session):
        body, job = await self._prepare(session)
        self.jobs.append(job)
        extra = []
        if not self._no_extra_requests and self._random.random() < 0.25:
            extra.append(asyncio.create_task(self._submit(session, body, job)))
        if not self._no_extra_requests and self._random.random() < 0.08:
            extra.append(asyncio.create_task(self._cancel(session, body, job)))
        end_ms = _wall_ms() + _RETRY_TIMEOUT_MS
        while _wall_ms() < end_ms:
            if await self._submit(session, body, job):
                break
            await asyncio.sleep(clock.seconds(_RETRY_INTERVAL_MS))
        await asyncio.gather(*extra)

    async def _prepare(self, session):
        ticket = await self._take_ticket(session)
        count = self._random.randint(1, 4)
        values = tuple(range(self._next_value, self._next_value + count))
        self._next_value += count
        repeatable = self._random.random() < 0.3
        shortest_ms, longest_ms = (
            _LONG_RUN_MS if self._random.random() < 0.2 else _SHORT_RUN_MS
        )
        tasks = [
            {
                "service": self._cluster.shape.service,
                "payload": {
                    "ms": self._random.randint(shortest_ms, longest_ms),
                    "value": value,
                },
                "repeatable": repeatable,
            }
            for value in values
        ]
        body = {
            "id": ticket,
            "deadline_ms": _DEADLINE_MS,
            "wait_ms": self._random.choice((0, 200, 3000)),
            "tasks": tasks,
        }
        return body, judge.SubmittedJob(ticket.partition(".")[0], values, repeatable)

    async def _take_ticket(self, session):
        while not self._tickets:
            answer = await self._post(
                session, "/v1/tickets", {"count": _TICKETS_PER_REQUEST}
            )
            if answer and "tickets" in answer:
                self._tickets += answer["tickets"]
            else:
                await asyncio.sleep(clock.seconds(_RETRY_INTERVAL_MS))
        return self._tickets.pop()

    async def _submit(self, session, body, job):
        """Submit once; return whether the answer is final."""
        answer = await self._post(session, "/v1/jobs", body)
        return answer is not None and self._record(job, answer)

    async def _cancel(self, session, body, job):
        await asyncio.sleep(clock.seconds(self._random.randint(0, 150)))
        url = f"{self._entry_url()}/v1/jobs/{body['id']}"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            headers = _bearer(cluster_module.CALLER_TOKENS["alpha"])
            async with session.delete(
                url, headers=headers, timeout=_timeout()
            ) as reply:
                self._record(job, await reply.json())

    def _record(self, job, answer):
        tasks = answer.get("tasks", ())
        if "state" in answer:
            outcomes = tuple(task["outcome"] for task in tasks)
            values = tuple(_value(task.get("result")) for task in tasks)
            received = judge.Answer(job.key, answer["state"], outcomes, values)
        else:
            received = judge.Answer(job.key, "refused", (answer["outcome"],))
        self.answers.append(received)
        return received.state in ("complete", "failed")

    async def _post(self, session, path, body, token=None):
        headers = _bearer(token or cluster_module.CALLER_TOKENS["alpha"])
        url = self._entry_url() + path
        try:
            async with session.post(
                url, json=body, headers=headers, timeout=_timeout()
            ) as reply:
                return await reply.json()
        except (aiohttp.ClientConnectorError, TimeoutError):
            # The entry is down or doesn't answer: the caller asks again elsewhere.
            return None
        except (aiohttp.ClientError, OSError) as error:
            self.broken_requests.append((url, repr(error)))
            return None

    def _entry_url(self):
        return self._cluster.entry_url(self._random.choice(self._cluster.entry_names))

    async def _watch(self, session):
        """Record entries that grant permits under an outdated revision."""
        while True:
            before_ms = _wall_ms() - _IN_FORCE_MS
            due = [
                revision
                for accepted_ms, revision in self._accepted_revisions
                if accepted_ms < before_ms
            ]
            for name in self._cluster.entry_names:
                ready = await self._ready(session, name)
                if ready and due and ready["revision"] < max(due):
                    self.reverts.append((name, ready["revision"], max(due)))
            await asyncio.sleep(clock.seconds(_WATCH_INTERVAL_MS))

    async def _ready(self, session, name):
        """Read an entry's readiness; return None if it grants no permits."""
        url = self._cluster.entry_url(name) + "/ready"
        try:
            async with session.get(
                url, timeout=aiohttp.ClientTimeout(total=1)
            ) as reply:
                body = await reply.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        return body if body.get("permit_ms") else None


def _value(result):
    """Return the value of a result; -1 for a result of another form."""
    if result is None:
        return None
    return result.get("value") if isinstance(result, dict) else -1


def _bearer(token):
    return {"Authorization": f"Bearer {token}"}


def _timeout():
    return aiohttp.ClientTimeout(total=clock.seconds(_REQUEST_TIMEOUT_MS))


def _wall_ms():
    return time.time_ns() // 1_000_000
