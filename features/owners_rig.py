"""Agents in one process, joined by links whose frames the steps control.

The agents are real; links and upstreams are small fakes at their interfaces. Frames
can be delivered twice, questions can be held back, and an agent can fall silent.
"""

import asyncio
import contextlib
import json
import types
from unittest import mock

import result

from jujubeglade.agent import agent, upstream
from jujubeglade.core import (
    clock,
    contract,
    job,
    link,
    member,
    problem,
    routing,
    ticket,
)
from jujubeglade.core import settings as settings_module

KEY = b"cluster-key-of-the-rig"
_PERMIT_MS = 600_000
_TURNS = 30


class End:
    """One end of a link between two agents of the rig."""

    def __init__(self, rig, local, remote, deliver):
        """Make an end whose frames go to `deliver(link, body)`."""
        self.remote = remote
        self.is_open = True
        self._rig = rig
        self._local = local
        self._deliver = deliver
        self._closed = asyncio.Event()
        self.other = None

    def send(self, body):
        """Deliver a one-way message on a later turn, as often as the rig says."""
        names = {self._local.name, self.remote.name}
        lost = type(body).__name__ in self._rig.lost_frames
        if not self.is_open or lost or names & self._rig.silent:
            return self.is_open
        for _ in range(self._rig.copies):
            asyncio.get_running_loop().call_soon(self._guarded, body)
        return True

    async def ask(self, body, timeout_ms):
        """Put a question once the rig lets questions pass."""
        try:
            async with asyncio.timeout(clock.seconds(timeout_ms)):
                await self._rig.questions.wait()
                if self.remote.name in self._rig.silent:
                    await asyncio.Event().wait()
                answer = await self._rig.agents[self.remote.name].on_request(
                    self.other, body
                )
        except TimeoutError:
            return result.Err(problem.Problem(problem.Kind.HOME_LOST, "lost", "again"))
        failed = isinstance(answer, problem.Problem)
        return result.Err(answer) if failed else result.Ok(answer)

    async def watch(self, is_needed):
        """Stay open: what falls silent here does so for good."""

    async def wait_closed(self):
        """Wait until closed."""
        await self._closed.wait()

    async def run(self):
        """Live until closed."""
        await self._closed.wait()

    def close(self):
        """Close both ends."""
        for end in (self, self.other):
            end.is_open = False
            end._closed.set()

    def _guarded(self, body):
        try:
            self._deliver(self.other, body)
        except Exception as error:
            # A link whose handler fails is gone, as the real one is.
            self._rig.errors.append(repr(error))
            self.close()


class Stage:
    """A fake upstream whose tasks end when a step says so."""

    def __init__(self, name, slots):
        """Announce itself under its agent's name."""
        self.announcement = upstream.Announcement("parts", "http://x", slots, 8, 1000)
        self.lease = name
        self.leaving = False
        self.running = 0
        self.started = []
        self.calls = {}

    @property
    def has_free_slot(self):
        """Tell whether another task may start here."""
        return not self.leaving and self.running < self.announcement.slots

    def is_live(self, now_ms):
        """Tell that the lease holds."""
        return True

    async def call(self, task_id, payload, start_by_ms, deadline_ms):
        """Run until a step ends the task."""
        self.started.append(task_id)
        self.calls[task_id] = asyncio.get_running_loop().create_future()
        return await self.calls[task_id]

    async def cancel(self, task_id):
        """End a task as cancelled."""
        self.end(task_id, contract.Verdict.FAILED)

    def end(self, task_id, verdict):
        """End a task."""
        if not self.calls[task_id].done():
            body = b"1" if verdict == contract.Verdict.SUCCEEDED else b"cancelled"
            self.calls[task_id].set_result(upstream.CallResult(verdict, body))

    async def close(self):
        """Do nothing."""


class Rig:
    """The agents, and the faults between them."""

    def __init__(self, names, folder, slots=8):
        """Make agents that may start tasks; the first one is the home."""
        self._loop = asyncio.get_running_loop()
        self._slots = slots
        self.silent = set()
        self.lost_frames = set()
        self.copies = 1
        self.errors = []
        self.asked = []
        self.questions = asyncio.Event()
        self.questions.set()
        self.agents = {name: _agent(name, folder) for name in names}
        self.stages = {name: Stage(name, slots) for name in names}
        for name, each in self.agents.items():
            each.executor.add_upstream(self.stages[name])
            each.permits.apply(member.Configuration(1, b"{}"))
            now_ms = each.clock.now_ms()
            each.permits.grant(member.Permit(now_ms, 1, _PERMIT_MS, 0))
        self._patch = mock.patch.object(link, "dial", self._dial)
        self._patch.start()
        group = [each.identity.incarnation for each in self.agents.values()]
        self.ticket = ticket.issue(KEY, clock.system_clock().wall_ms(), group)

    def renew_ticket(self):
        """Take another ticket with the same group."""
        self.ticket = ticket.issue(KEY, self.ticket.issued_ms + 1, self.ticket.group)

    def submit(self, name, tasks, repeatable, wait_ms=5000):
        """Submit the job of the ticket to an agent; return the asyncio task."""
        task = job.Task("parts", b"{}", repeatable, 0)
        submission = job.Submission(
            self.ticket.text, "alpha", job.Urgency.NORMAL, 30_000, (task,) * tasks
        )
        members = tuple(self._member(each) for each in self.agents)
        generation = list(self.agents).index(name)
        asked = routing.Submit(submission, generation, members, wait_ms)
        self.asked.append(self._loop.create_task(self.agents[name].home.submit(asked)))
        return self.asked[-1]

    def cancel(self, name):
        """Cancel the job at an agent; return the asyncio task."""
        order = routing.Cancel(self.ticket.key, "", "a step")
        return self._loop.create_task(self.agents[name].home.cancel(order))

    def started(self):
        """List the starts as pairs of agent name and task index, in order."""
        return [
            (name, task_id.index)
            for name, stage in self.stages.items()
            for task_id in stage.started
            if task_id.key == self.ticket.key
        ]

    def end_tasks(self, verdict=contract.Verdict.SUCCEEDED):
        """End every running task."""
        for stage in self.stages.values():
            for task_id in stage.calls:
                stage.end(task_id, verdict)

    async def turns(self):
        """Let everything happen that needs no time."""
        for _ in range(_TURNS):
            await asyncio.sleep(0)

    async def close(self):
        """Stop everything."""
        self._patch.stop()
        for each in self.agents.values():
            await each.home.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task

    def _member(self, name):
        identity = self.agents[name].identity
        return member.Member(
            identity.incarnation, name, name, 1, "a", "r", ("parts",), self._slots
        )

    async def _dial(self, address, cluster_key, identity, handler):
        name = address[0]
        if name in self.silent:
            await asyncio.sleep(1)
            return result.Err(problem.Problem(problem.Kind.HOME_LOST, "silent", ""))
        other = self.agents[name]
        front = End(self, identity, other.identity, other.on_message)
        back = End(self, other.identity, identity, handler.on_message)
        front.other, back.other = back, front
        other.on_link(back)
        return result.Ok(front)


def _agent(name, folder):
    fields = {
        "role": "agent",
        "name": name,
        "zone": "a",
        "rack": "r",
        "cluster_key": KEY.decode(),
        "stream": "127.0.0.1:1",
        "http": "127.0.0.1:2",
        "announce": "127.0.0.1:3",
        "entries": {"entry-1": "127.0.0.1:4"},
    }
    path = folder / f"{name}.json5"
    path.write_text(json.dumps(fields), encoding="utf-8")
    return agent.new_agent(settings_module.load(str(path)).unwrap())


class OneLink:
    """A membership whose agents answer a router as a table says."""

    def __init__(self, answers):
        """Take a dict from incarnations to Results."""
        self._answers = answers

    def find(self, incarnation):
        """Find the scripted agent."""
        answer = self._answers[incarnation]

        async def ask(body, timeout_ms):
            return answer

        return types.SimpleNamespace(link=types.SimpleNamespace(ask=ask), member=None)
