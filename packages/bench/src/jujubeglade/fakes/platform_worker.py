"""A stand-in for a worker of the platform, over its published HTTP protocol.

`direct_worker.SimulatedWorker` implements the rules and faults of the worker; this
module is its HTTP interface: it answers the agent's calls and sends the reports.
"""

import asyncio
import contextlib
import random
import weakref

import aiohttp
from aiohttp import web

from jujubeglade.core import clock
from jujubeglade.direct import job, worker
from jujubeglade.fakes import direct_worker

_REPORT_INTERVAL_MS = 300
#: Longer than any caller waits for an answer.
_NO_ANSWER_S = 30
_CONFLICT_REASONS = {
    worker.Answer.FENCED: "fence",
    worker.Answer.OUTDATED_RUN: "old",
    worker.Answer.NO_ROOM: "room",
}


class PlatformWorker:
    """One worker with an HTTP interface."""

    def __init__(self, name, control, witness, cores=16):
        """Create a worker; `open` starts its listener and its reports.

        Args:
          name: A string.
          control: A string, HOST:PORT where its agent receives reports.
          witness: A direct_worker.Witness.
          cores: An integer.
        """
        total = job.Resources(cores * 1000, 1 << 18, 0)
        rng = random.Random(name)
        self.inner = direct_worker.SimulatedWorker(name, total, witness, rng)
        self.inner.attach(self)
        #: Fields that replace those of the answers to polls.
        self.poll_changes = {}
        #: The body with which the next start is refused; None if it is carried out.
        self.next_refusal = None
        #: Whether it sends periodic reports; calls are answered either way.
        self.is_reporting = True
        self._control = control
        self._loop = asyncio.get_running_loop()
        self._open = weakref.WeakSet()
        self._silent = weakref.WeakSet()
        self._runner = None
        self._report_task = None
        self._session = None

    def on_report(self, report):
        """Ignore the inner worker's report; `_report_forever` sends reports."""

    async def open(self, port):
        """Listen on loopback and start to send reports."""
        app = web.Application(middlewares=[self._apply_silence])
        app.router.add_post("/jujubeglade/run-start", self._start)
        app.router.add_post("/jujubeglade/run-stop", self._stop)
        app.router.add_post("/jujubeglade/hold", self._poll)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self._session = aiohttp.ClientSession()
        self._report_task = asyncio.create_task(self._report_forever())

    async def close(self):
        """Stop reporting and listening."""
        self._report_task.cancel()
        await asyncio.gather(self._report_task, return_exceptions=True)
        await self._session.close()
        await self._runner.cleanup()

    async def send(self, method, fields):
        """Send a report or a leave to the agent.

        Args:
          method: A string, the HTTP method.
          fields: A dict, the body.

        Returns:
          An integer, the HTTP status of the answer.
        """
        url = f"http://{self._control}/jujubeglade/instances/{self.inner.name}"
        async with self._session.request(method, url, json=fields) as response:
            return response.status

    def report(self, sequence, state="ready"):
        """Build the body of a report.

        Args:
          sequence: An integer.
          state: A string.

        Returns:
          A dict.
        """
        total = self.inner.total
        return {
            "service": self.inner.service,
            "address": "127.0.0.1:1",
            "zone": "zone",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "capacity": {
                "cpu": total.cpu,
                "requestedMemoryMb": total.memory_mb,
                "gpu": total.gpus,
            },
            "labels": list(self.inner.labels),
            "sequence": sequence,
            "clockMs": int(self._loop.time() * clock.MILLISECONDS_PER_SECOND),
            "born": self.inner.instance.started_ms,
        }

    def silence_open(self):
        """Receive nothing more on the connections that are open now."""
        self._silent.update(self._open)

    @web.middleware
    async def _apply_silence(self, request, handler):
        self._open.add(request.transport)
        if request.transport in self._silent:
            await asyncio.sleep(_NO_ANSWER_S)
        return await handler(request)

    async def _report_forever(self):
        sequence = 0
        while True:
            sequence += 1
            state = "draining" if self.inner.draining else "ready"
            # Reports fail while the agent is down; one after its restart succeeds.
            with contextlib.suppress(aiohttp.ClientError):
                if self.is_reporting:
                    await self.send("PUT", self.report(sequence, state))
            await asyncio.sleep(_REPORT_INTERVAL_MS / 1000)

    async def _start(self, request):
        target, fields = await self._read_request(request)
        if self.next_refusal is not None:
            refusal, self.next_refusal = self.next_refusal, None
            return web.json_response(refusal, status=409)
        start = worker.Start(
            _task_name(fields["task"]),
            fields["run"],
            fields["spec"],
            fields["deadlineMs"],
        )
        return self._answer(await self.inner.start(target, start))

    async def _stop(self, request):
        target, fields = await self._read_request(request)
        name = _task_name(fields["task"])
        return self._answer(await self.inner.stop(target, name, fields["run"]))

    async def _poll(self, request):
        target, fields = await self._read_request(request)
        reply = await self.inner.poll(
            target, fields["ackCursor"], fields.get("deadlineMs"), fields["waitMs"]
        )
        if reply.answer is not worker.Answer.OK:
            return self._answer(reply)
        body = {
            "clockMs": int(reply.clock_ms),
            "born": reply.started_ms,
            "running": [
                [_task_text(task), run, "", 100] for task, run in reply.running
            ],
            "finished": [
                [end.number, _task_text(end.task), end.run, str(end.how), ""]
                for end in reply.finished
            ],
        }
        return web.json_response(body | self.poll_changes)

    async def _read_request(self, request):
        fields = await request.json()
        name = request.headers["X-Expected-Instance"]
        started_ms = self.inner.instance.started_ms
        instance = worker.Instance(name, started_ms)
        return worker.Target(instance, fields.get("fencingToken", 0)), fields

    def _answer(self, reply):
        answer = reply.answer
        clock_ms = int(reply.clock_ms or 0)
        if answer is worker.Answer.OK:
            return web.json_response({"clockMs": clock_ms})
        if answer is worker.Answer.OTHER_INSTANCE:
            return web.json_response({}, status=421)
        if answer in _CONFLICT_REASONS:
            body = {"clockMs": clock_ms, "reason": _CONFLICT_REASONS[answer]}
            return web.json_response(body, status=409)
        # The agent's timeout has already passed for a call without an answer.
        return web.json_response({}, status=500)


def _task_text(task):
    return f"{task.job_id}.0.{task.step}.{task.index}"


def _task_name(text):
    job_id, _, step, index = text.split(".")
    return job.TaskName(job_id, int(step), int(index))
