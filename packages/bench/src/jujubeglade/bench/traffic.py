"""Callers and operators who never give up, for tests of failures.

A caller takes a ticket and submits until somebody gives a final answer, at any entry,
sometimes twice at once, sometimes cancelling. All that it is told is kept for the
judge. Operators send each command until it is answered, under one id:

    held = traffic.Traffic(cluster, seed=7)
    await held.run(3000)                 # new jobs for 3 s, then their answers
    await held.operate("drain zone a")
    held.findings()
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

_GAP_MS = 15
_RETRY_MS = 50
_PATIENCE_MS = 45_000
_DEADLINE_MS = 12_000
_MARGIN_MS = 8000
_IN_FORCE_MS = 5000
_WATCH_MS = 100
_TICKETS = 20
# The run times of short and long tasks, in ms.
_SHORT = (5, 150)
_LONG = (300, 900)


class Traffic:
    """The callers and operators of one cluster."""

    def __init__(self, cluster, seed, no_extra_requests=False):
        """Prepare; `run` begins.

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
        self._value = 0
        self._accepted = []
        self.jobs = []
        self.answers = []
        self.drains = []
        self.leaves = []
        self.broken_requests = []
        self.reverts = []

    async def run(self, duration_ms, alongside=None):
        """Submit new jobs for a time, then wait for all answers.

        Args:
          duration_ms: A number.
          alongside: An asyncio.Task or None; jobs are submitted until it ends, too.
        """
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            watching = asyncio.create_task(self._watch(session))
            end_ms = _wall_ms() + duration_ms
            jobs = []
            while _wall_ms() < end_ms or alongside and not alongside.done():
                jobs.append(asyncio.create_task(self._job(session)))
                gap_ms = self._random.expovariate(1 / _GAP_MS)
                await asyncio.sleep(clock.seconds(gap_ms))
            try:
                await asyncio.gather(*jobs)
            finally:
                watching.cancel()

    async def operate(self, text):
        """Run an operator's command, again under its id until it is answered.

        Args:
          text: A string, the command.

        Returns:
          A string, the stage reached, or the kind of the refusal.
        """
        command = {"id": f"command-{secrets.token_hex(6)}", "text": text}
        token = self._random.choice(list(cluster_module.OPERATOR_TOKENS.values()))
        end_ms = _wall_ms() + _PATIENCE_MS
        async with aiohttp.ClientSession() as session:
            while _wall_ms() < end_ms:
                answer = await self._post(session, "/v1/commands", command, token)
                kind = answer and answer.get("status", answer.get("kind"))
                if kind in ("accepted", "in_force"):
                    self._accepted.append((_wall_ms(), answer["revision"]))
                    return kind
                if kind in ("conflict", "syntax", "bad_request"):
                    return kind
                await asyncio.sleep(clock.seconds(_RETRY_MS))
        return "unanswered"

    async def drain(self, zone, duration_ms):
        """Take a zone out for a time and note from when to when.

        Args:
          zone: A string.
          duration_ms: A number.
        """
        command = f"drain zone {zone}"
        while await self.operate(command) not in ("accepted", "in_force"):
            # Too few entries have answered in time, on a busy machine.
            await asyncio.sleep(clock.seconds(_RETRY_MS))
        begin_ms = _wall_ms()
        await asyncio.sleep(clock.seconds(duration_ms))
        self.drains.append(judge.Absence(zone, begin_ms, _wall_ms()))
        while await self.operate(f"restore zone {zone}") == "conflict":
            await asyncio.sleep(clock.seconds(_RETRY_MS))

    def findings(self, allow_restarts=True):
        """Judge all that happened so far.

        Args:
          allow_restarts: A boolean, whether a fault may explain that a repeatable task
            started again.

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
        return len({each.key for each in self.answers if each.state == "failed"})

    async def _job(self, session):
        body, asked = await self._prepare(session)
        self.jobs.append(asked)
        extra = []
        if not self._no_extra_requests and self._random.random() < 0.25:
            extra.append(asyncio.create_task(self._submit(session, body, asked)))
        if not self._no_extra_requests and self._random.random() < 0.08:
            extra.append(asyncio.create_task(self._cancel(session, body, asked)))
        end_ms = _wall_ms() + _PATIENCE_MS
        while _wall_ms() < end_ms:
            if await self._submit(session, body, asked):
                break
            await asyncio.sleep(clock.seconds(_RETRY_MS))
        await asyncio.gather(*extra)

    async def _prepare(self, session):
        ticket = await self._ticket(session)
        count = self._random.randint(1, 4)
        values = tuple(range(self._value, self._value + count))
        self._value += count
        repeatable = self._random.random() < 0.3
        shortest_ms, longest_ms = _LONG if self._random.random() < 0.2 else _SHORT
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

    async def _ticket(self, session):
        while not self._tickets:
            given = await self._post(session, "/v1/tickets", {"count": _TICKETS})
            if given and "tickets" in given:
                self._tickets += given["tickets"]
            else:
                await asyncio.sleep(clock.seconds(_RETRY_MS))
        return self._tickets.pop()

    async def _submit(self, session, body, asked):
        """Submit once; tell whether the answer is final."""
        answer = await self._post(session, "/v1/jobs", body)
        return answer is not None and self._note(asked, answer)

    async def _cancel(self, session, body, asked):
        await asyncio.sleep(clock.seconds(self._random.randint(0, 150)))
        url = f"{self._entry_url()}/v1/jobs/{body['id']}"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            headers = _bearer(cluster_module.CALLER_TOKENS["alpha"])
            async with session.delete(url, headers=headers, timeout=_timeout()) as got:
                self._note(asked, await got.json())

    def _note(self, asked, answer):
        tasks = answer.get("tasks", ())
        if "state" in answer:
            outcomes = tuple(task["outcome"] for task in tasks)
            values = tuple(_value(task.get("result")) for task in tasks)
            told = judge.Answer(asked.key, answer["state"], outcomes, values)
        else:
            told = judge.Answer(asked.key, "refused", (answer["outcome"],))
        self.answers.append(told)
        return told.state in ("complete", "failed")

    async def _post(self, session, path, body, token=None):
        headers = _bearer(token or cluster_module.CALLER_TOKENS["alpha"])
        url = self._entry_url() + path
        try:
            async with session.post(
                url, json=body, headers=headers, timeout=_timeout()
            ) as reply:
                return await reply.json()
        except (aiohttp.ClientConnectorError, TimeoutError):
            # Nobody listens there, or nobody answers: another entry is asked.
            return None
        except (aiohttp.ClientError, OSError) as error:
            self.broken_requests.append((url, repr(error)))
            return None

    def _entry_url(self):
        return self._cluster.entry_url(self._random.choice(self._cluster.entry_names))

    async def _watch(self, session):
        """Look whether an entry grants permits under an outdated revision."""
        while True:
            before_ms = _wall_ms() - _IN_FORCE_MS
            due = [revision for at, revision in self._accepted if at < before_ms]
            for name in self._cluster.entry_names:
                held = await self._ready(session, name)
                if held and due and held["revision"] < max(due):
                    self.reverts.append((name, held["revision"], max(due)))
            await asyncio.sleep(clock.seconds(_WATCH_MS))

    async def _ready(self, session, name):
        url = self._cluster.entry_url(name) + "/ready"
        try:
            async with session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as got:
                body = await got.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        return body if body.get("permit_ms") else None


def _value(result):
    """Read the value of a result; a result of another form is -1."""
    if result is None:
        return None
    return result.get("value") if isinstance(result, dict) else -1


def _bearer(token):
    return {"Authorization": f"Bearer {token}"}


def _timeout():
    return aiohttp.ClientTimeout(total=clock.seconds(_MARGIN_MS))


def _wall_ms():
    return time.time_ns() // 1_000_000
