"""A site in one process: the product's home and executors with stand-in upstreams.

Delayed calls replace the agents' links, and sleeps replace the upstreams. The site runs
in virtual time (`jujubeglade.fakes.virtual`):

    async def trial():
        site = open_site(workers=11)
        site.upstreams[3].fails = True
        answer = await site.submit([task(50)] * 8)

An upstream's faults are attributes that tests may change at any time.
"""

import asyncio
import json
import types

import result

from jujubeglade.agent import executor, home, permit, upstream
from jujubeglade.core import contract, journal, link, member, routing, ticket
from jujubeglade.core import job as jobs
from jujubeglade.core import settings as settings_
from jujubeglade.fakes import virtual

ONE_WAY_MS = 0.5
SERVICE = "parts"
_KEY = b"k" * 32
_FAILURE_RUN_MS = 1
_FOREVER_MS = 10**9
_AUDIT_RECORDS = 1000
_ZONES = "abc"


class SiteUpstream:
    """One stand-in upstream; it runs a task by sleeping for the time in its payload."""

    def __init__(self, clock, name, slots):
        """Create an upstream without faults.

        Args:
          clock: A Clock.
          name: A string.
          slots: An integer.
        """
        self.name = name
        self.lease = name
        self.announcement = upstream.Announcement(
            SERVICE, f"http://{name}", slots, 64, _FOREVER_MS
        )
        self.leaving = False
        self.running = 0
        self.started = []
        self.finished = 0
        self.cancelled = 0
        self.fails = False
        self.slow_factor = 1
        # It rejects tasks as throttled while this many run; None for no limit.
        self.capacity = None
        self.throttled = 0
        self._clock = clock
        self._stops = {}

    @property
    def has_free_slot(self):
        """Tell whether another task may start here."""
        return not self.leaving and self.running < self.announcement.slots

    def is_live(self, now_ms):
        """Tell whether the lease is valid, which it always is."""
        return True

    async def call(self, task_id, payload, start_by_ms, deadline_ms):
        """Run one attempt; `upstream.Upstream.call` describes the arguments.

        Returns:
          A CallResult.
        """
        if self.capacity is not None and len(self._stops) >= self.capacity:
            self.throttled += 1
            return upstream.CallResult(None, b"", contract.RejectReason.THROTTLED, 0)
        fields = json.loads(payload)
        self.started.append((self._clock.now_ms(), task_id))
        if self.fails or fields.get("poison"):
            await asyncio.sleep(_FAILURE_RUN_MS / 1000)
            return upstream.CallResult(contract.Verdict.FAILED, b"500: fails")
        run_ms = fields["ms"] * self.slow_factor
        stop = asyncio.get_running_loop().create_future()
        self._stops[task_id] = stop
        done, _ = await asyncio.wait((stop,), timeout=run_ms / 1000)
        del self._stops[task_id]
        if done:
            return upstream.CallResult(contract.Verdict.FAILED, b"409: cancelled")
        self.finished += 1
        return upstream.CallResult(contract.Verdict.SUCCEEDED, b"1")

    async def cancel(self, task_id):
        """Stop an attempt.

        Args:
          task_id: A TaskId.
        """
        stop = self._stops.get(task_id)
        if stop is not None and not stop.done():
            self.cancelled += 1
            stop.set_result(None)


class _DelayedLink:
    """One direction of a link; it delivers messages after the network delay."""

    def __init__(self, remote, deliver, serve=None):
        self.remote = remote
        self.sent = 0
        self._deliver = deliver
        self._serve = serve
        self._closed = asyncio.get_running_loop().create_future()

    @property
    def is_open(self):
        return not self._closed.done()

    def send(self, body):
        self.sent += 1
        if not self.is_open:
            return False
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_MS / 1000, self._deliver, body)
        return True

    async def ask(self, body, timeout_ms):
        self.sent += 1
        await asyncio.sleep(ONE_WAY_MS / 1000)
        answer = self._serve(body)
        await asyncio.sleep(ONE_WAY_MS / 1000)
        return result.Ok(answer)

    async def run(self):
        await asyncio.shield(self._closed)

    async def watch(self, is_used):
        """Do nothing: this link never falls silent."""

    def close(self):
        if self.is_open:
            self._closed.set_result(None)


class Site:
    """A home with its executors; `open_site` creates one."""

    def __init__(self, workers, slots, limits):
        """Create the agents; `open_site` describes the arguments."""
        self.clock = virtual.VirtualClock(asyncio.get_running_loop())
        self.limits = settings_.Limits(**limits)
        self.upstreams = []
        self.executors = {}
        self.members = []
        self.permits = []
        for number in range(workers):
            self._add_agent(number, slots)
        identity = self._identity(0)
        agent = types.SimpleNamespace(
            clock=self.clock,
            identity=identity,
            journal=self._journal(identity),
            permits=self.permits[0],
            cluster_key=_KEY,
            settings=types.SimpleNamespace(limits=self.limits),
        )
        local_executor = self.executors[identity.incarnation]
        self.home = home.Home(agent, local_executor, dial=self._dial)
        self._home_links = {}

    def configure(self, revision, **document):
        """Apply a configuration on every agent.

        Args:
          revision: An integer, greater than the last one.
          **document: The fields of the configuration document.
        """
        text = json.dumps(document)
        for permits in self.permits:
            permits.apply(member.Configuration(revision, text))
            permits.grant(member.Permit(self.clock.now_ms(), revision, _FOREVER_MS, 0))
        self.home.on_configuration()

    async def submit(self, tasks, deadline_ms=30_000, tenant="acme", urgency="normal"):
        """Submit a job and wait for its answer.

        Args:
          tasks: A sequence of Tasks.
          deadline_ms: An integer.
          tenant: A string.
          urgency: A string, a job.Urgency.

        Returns:
          An Answer or a Problem.
        """
        group = [agent_member.incarnation for agent_member in self.members]
        job_ticket = ticket.issue(_KEY, self.clock.wall_ms(), group)
        submission = jobs.Submission(
            job_ticket.text, tenant, urgency, deadline_ms, tuple(tasks)
        )
        message = routing.Submit(submission, 0, tuple(self.members), 10 * deadline_ms)
        return await self.home.submit(message)

    def messages(self):
        """Count the messages sent between the home and the executors.

        Returns:
          An integer.
        """
        return sum(
            delayed_link.sent
            for pair in self._home_links.values()
            for delayed_link in pair
        )

    async def close(self):
        """Close the home."""
        await self.home.close()

    def _add_agent(self, number, slots):
        identity = self._identity(number)
        permits = permit.Permits(self.clock, identity)
        permits.grant(member.Permit(self.clock.now_ms(), 0, _FOREVER_MS, 0))
        agent_executor = executor.Executor(
            identity, self.clock, self._journal(identity), permits, self.limits
        )
        stand_in = SiteUpstream(self.clock, identity.name, slots)
        agent_executor.add_upstream(stand_in)
        self.upstreams.append(stand_in)
        self.permits.append(permits)
        self.executors[identity.incarnation] = agent_executor
        self.members.append(
            member.Member(
                identity.incarnation,
                identity.name,
                identity.incarnation,
                0,
                identity.zone,
                "r1",
                (SERVICE,),
                slots,
            )
        )

    def _identity(self, number):
        zone = _ZONES[number % len(_ZONES)]
        return link.Identity("agent", f"w{number}", f"{number:010x}", zone)

    def _journal(self, identity):
        return journal.open_journal(
            identity.name, identity.incarnation, self.clock, _AUDIT_RECORDS, _KEY
        )

    async def _dial(self, address, cluster_key, identity, handler, incarnation):
        name = address[0]
        await asyncio.sleep(ONE_WAY_MS / 1000)
        agent_executor = self.executors[name]
        number = int(name, 16)
        home_link = _DelayedLink(
            identity, lambda body: handler.on_message(executor_link, body)
        )
        executor_link = _DelayedLink(
            self._identity(number),
            lambda body: _on_message(agent_executor, home_link, body),
            lambda body: _on_request(agent_executor, home_link, body),
        )
        self._home_links[name] = (executor_link, home_link)
        return result.Ok(executor_link)


def open_site(workers=11, slots=8, **limits):
    """Create a site in a running virtual loop.

    Args:
      workers: An integer; the first one's agent is the home.
      slots: An integer, of each worker.
      **limits: Fields of settings.Limits that differ from the defaults.

    Returns:
      A Site.
    """
    return Site(workers, slots, limits)


def task(run_ms, repeatable=True, declared_ms=0, service=SERVICE, poison=False):
    """Build a task.

    Args:
      run_ms: A number, how long it runs on an upstream without faults.
      repeatable: A boolean.
      declared_ms: An integer, the declared run time.
      service: A string.
      poison: A boolean, whether it fails on every upstream.

    Returns:
      A Task.
    """
    fields = {"ms": run_ms, "poison": poison}
    payload = json.dumps(fields).encode("ascii")
    return jobs.Task(service, payload, repeatable, declared_ms)


def _on_message(agent_executor, home_link, body):
    if isinstance(body, contract.Start):
        agent_executor.start(home_link, body)
    elif isinstance(body, contract.Stop):
        agent_executor.stop(home_link, body)


def _on_request(agent_executor, home_link, body):
    if isinstance(body, contract.Claim):
        return agent_executor.claim(home_link, body)
    return agent_executor.close(home_link, body)
