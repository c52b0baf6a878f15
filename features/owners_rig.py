"""Agents in one process, connected by links whose messages the steps control.

The agents are real; links and upstreams are small fakes with the same interfaces.
One-way messages can be lost or delivered twice, requests can be delayed, and an agent
can become unreachable.
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
#: Turns of the event loop after which nothing more happens without time passing.
_SETTLE_TURNS = 30


class LinkEnd:
    """One end of a link between two agents of the rig."""

    def __init__(self, rig, local, remote, deliver):
        """Create an end that passes its messages to `deliver(link, body)`."""
        self.remote = remote
        self.is_open = True
        self._rig = rig
        self._local = local
        self._deliver = deliver
        self._closed = asyncio.Event()
        self.other = None

    def send(self, body):
        """Deliver a one-way message on a later turn, `Rig.deliveries` times."""
        names = {self._local.name, self.remote.name}
        lost = type(body).__name__ in self._rig.lost_messages
        if not self.is_open or lost or names & self._rig.unreachable:
            return self.is_open
        for _ in range(self._rig.deliveries):
            asyncio.get_running_loop().call_soon(self._deliver_or_close, body)
        return True

    async def ask(self, body, timeout_ms):
        """Send a request once the rig lets requests pass."""
        try:
            async with asyncio.timeout(clock.seconds(timeout_ms)):
                await self._rig.requests_pass.wait()
                if self.remote.name in self._rig.unreachable:
                    await asyncio.Event().wait()
                answer = await self._rig.agents[self.remote.name].on_request(
                    self.other, body
                )
        except TimeoutError:
            return result.Err(problem.Problem(problem.Kind.HOME_LOST, "lost", "again"))
        failed = isinstance(answer, problem.Problem)
        return result.Err(answer) if failed else result.Ok(answer)

    async def watch(self, is_needed):
        """Do nothing; an agent that becomes unreachable stays so."""

    async def wait_closed(self):
        """Wait until closed."""
        await self._closed.wait()

    async def run(self):
        """Run until closed."""
        await self._closed.wait()

    def close(self):
        """Close both ends."""
        for end in (self, self.other):
            end.is_open = False
            end._closed.set()

    def _deliver_or_close(self, body):
        try:
            self._deliver(self.other, body)
        except Exception as error:
            # Like a real link, this one closes when its handler fails.
            self._rig.errors.append(repr(error))
            self.close()


class FakeUpstream:
    """An upstream whose tasks end when a step ends them."""

    def __init__(self, name, slots):
        """Create an upstream whose lease is its agent's name."""
        self.announcement = upstream.Announcement("parts", "http://x", slots, 8, 1000)
        self.lease = name
        self.leaving = False
        self.running = 0
        self.started = []
        self.calls = {}

    @property
    def has_free_slot(self):
        """Whether another task may start here."""
        return not self.leaving and self.running < self.announcement.slots

    def is_live(self, now_ms):
        """Return True, as the lease doesn't expire."""
        return True

    async def call(self, task_id, payload, start_by_ms, deadline_ms):
        """Run a task until a step ends it."""
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
    """The agents, their upstreams, and the faults of the links between them."""

    def __init__(self, names, folder, slots=8):
        """Create agents that have permits; the first one is the home."""
        self._loop = asyncio.get_running_loop()
        self._slots = slots
        self.unreachable = set()
        self.lost_messages = set()
        self.deliveries = 1
        self.errors = []
        self.submissions = []
        self.requests_pass = asyncio.Event()
        self.requests_pass.set()
        self.agents = {name: _agent(name, folder) for name in names}
        self.upstreams = {name: FakeUpstream(name, slots) for name in names}
        for name, an_agent in self.agents.items():
            an_agent.executor.add_upstream(self.upstreams[name])
            an_agent.permits.apply(member.Configuration(1, b"{}"))
            now_ms = an_agent.clock.now_ms()
            an_agent.permits.grant(member.Permit(now_ms, 1, _PERMIT_MS, 0))
        self._patch = mock.patch.object(link, "dial", self._dial)
        self._patch.start()
        group = [an_agent.identity.incarnation for an_agent in self.agents.values()]
        self.ticket = ticket.issue(KEY, clock.system_clock().wall_ms(), group)

    def renew_ticket(self):
        """Issue another ticket with the same group."""
        self.ticket = ticket.issue(KEY, self.ticket.issued_ms + 1, self.ticket.group)

    def submit(self, name, tasks, repeatable, wait_ms=5000):
        """Submit the job of the ticket to an agent; return the asyncio task."""
        task = job.Task("parts", b"{}", repeatable, 0)
        submission = job.Submission(
            self.ticket.text, "alpha", job.Urgency.NORMAL, 30_000, (task,) * tasks
        )
        members = tuple(self._member(member_name) for member_name in self.agents)
        generation = list(self.agents).index(name)
        request = routing.Submit(submission, generation, members, wait_ms)
        self.submissions.append(
            self._loop.create_task(self.agents[name].home.submit(request))
        )
        return self.submissions[-1]

    def cancel(self, name):
        """Cancel the job at an agent; return the asyncio task."""
        request = routing.Cancel(self.ticket.key, "", "a step")
        return self._loop.create_task(self.agents[name].home.cancel(request))

    def starts(self):
        """List the starts as pairs of agent name and task index, in order."""
        return [
            (name, task_id.index)
            for name, an_upstream in self.upstreams.items()
            for task_id in an_upstream.started
            if task_id.key == self.ticket.key
        ]

    def end_tasks(self, verdict=contract.Verdict.SUCCEEDED):
        """End every running task."""
        for an_upstream in self.upstreams.values():
            for task_id in an_upstream.calls:
                an_upstream.end(task_id, verdict)

    async def settle(self):
        """Run the event loop until nothing more happens without time passing."""
        for _ in range(_SETTLE_TURNS):
            await asyncio.sleep(0)

    async def close(self):
        """Stop everything."""
        self._patch.stop()
        for an_agent in self.agents.values():
            await an_agent.home.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task

    def _member(self, name):
        identity = self.agents[name].identity
        return member.Member(
            identity.incarnation, name, name, 1, "a", "r", ("parts",), self._slots
        )

    async def _dial(self, address, cluster_key, identity, handler, incarnation):
        name = address[0]
        if name in self.unreachable:
            await asyncio.sleep(1)
            return result.Err(problem.Problem(problem.Kind.HOME_LOST, "silent", ""))
        other = self.agents[name]
        local_end = LinkEnd(self, identity, other.identity, other.on_message)
        remote_end = LinkEnd(self, other.identity, identity, handler.on_message)
        local_end.other, remote_end.other = remote_end, local_end
        other.on_link(remote_end)
        return result.Ok(local_end)


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


class ScriptedMembership:
    """A membership whose agents give a router prepared answers."""

    def __init__(self, answers):
        """Create a membership from a dict of Results by incarnation."""
        self._answers = answers

    def find(self, incarnation):
        """Return a stand-in for the agent with this incarnation."""
        answer = self._answers[incarnation]

        async def ask(body, timeout_ms):
            return answer

        return types.SimpleNamespace(link=types.SimpleNamespace(ask=ask), member=None)
