"""A stand-in for a worker of the platform, over its published protocol.

The rules and faults of the worker are those of `direct_worker.SimulatedWorker`; this
module speaks HTTP for it: it answers its agent's calls and sends its reports.
"""

import asyncio
import contextlib
import random

import aiohttp
from aiohttp import web

from jujubeglade.direct import job, worker
from jujubeglade.fakes import direct_worker

_REPORT_MS = 300
_REASONS = {
    worker.Answer.FENCED: "fence",
    worker.Answer.OUTDATED_RUN: "old",
    worker.Answer.NO_ROOM: "room",
}


class PlatformWorker:
    """One worker that is reached by HTTP."""

    def __init__(self, name, control, witness, cores=16):
        """Begin a worker; `open` listens and reports.

        Args:
          name: A string.
          control: A string, HOST:PORT where its agent takes reports.
          witness: A direct_worker.Witness.
          cores: An integer.
        """
        total = job.Resources(cores * 1000, 1 << 18, 0)
        chance = random.Random(name)
        self.inner = direct_worker.SimulatedWorker(name, total, witness, chance)
        self.inner.attach(self)
        #: Whether it reports now and then; it does all else as ever.
        self.is_reporting = True
        self._control = control
        self._runner = None
        self._reporting = None
        self._session = None

    def on_report(self, report):
        """Pass over what the inner worker reports; `_report` sends it."""

    async def open(self, port):
        """Listen on loopback and begin to report."""
        app = web.Application()
        app.router.add_post("/jujubeglade/run-start", self._start)
        app.router.add_post("/jujubeglade/run-stop", self._stop)
        app.router.add_post("/jujubeglade/hold", self._hold)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self._session = aiohttp.ClientSession()
        self._reporting = asyncio.create_task(self._report_forever())

    async def close(self):
        """Stop reporting and listening."""
        self._reporting.cancel()
        await asyncio.gather(self._reporting, return_exceptions=True)
        await self._session.close()
        await self._runner.cleanup()

    async def send(self, method, fields):
        """Send a report or a leave as it is given.

        Returns:
          An integer, the status of the answer.
        """
        url = f"http://{self._control}/jujubeglade/instances/{self.inner.name}"
        async with self._session.request(method, url, json=fields) as response:
            return response.status

    def report(self, sequence, state="ready"):
        """Write a report.

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
            "born": self.inner.instance.started_ms,
        }

    async def _report_forever(self):
        sequence = 0
        while True:
            sequence += 1
            state = "draining" if self.inner.draining else "ready"
            # While the agent is away reports fail; a later one finds it again.
            with contextlib.suppress(aiohttp.ClientError):
                if self.is_reporting:
                    await self.send("PUT", self.report(sequence, state))
            await asyncio.sleep(_REPORT_MS / 1000)

    async def _start(self, request):
        target, fields = await self._order(request)
        start = worker.Start(
            _task_name(fields["task"]),
            fields["run"],
            fields["spec"],
            fields["deadlineMs"],
        )
        return self._answer(await self.inner.start(target, start))

    async def _stop(self, request):
        target, fields = await self._order(request)
        name = _task_name(fields["task"])
        return self._answer(await self.inner.stop(target, name, fields["run"]))

    async def _hold(self, request):
        target, fields = await self._order(request)
        look = await self.inner.poll(
            target, fields["ackCursor"], fields.get("deadlineMs"), fields["waitMs"]
        )
        if look.answer is not worker.Answer.OK:
            return self._answer(look)
        body = {
            "clockMs": int(look.clock_ms),
            "born": look.started_ms,
            "running": [[_task_text(task), run, "", 100] for task, run in look.running],
            "finished": [
                [each.number, _task_text(each.task), each.run, str(each.how), ""]
                for each in look.finished
            ],
        }
        return web.json_response(body)

    async def _order(self, request):
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
        if answer in _REASONS:
            body = {"clockMs": clock_ms, "reason": _REASONS[answer]}
            return web.json_response(body, status=409)
        # What gets no answer here has waited longer than an agent does.
        return web.json_response({}, status=500)


def _task_text(task):
    return f"{task.job_id}.0.{task.step}.{task.index}"


def _task_name(text):
    job_id, _, step, index = text.split(".")
    return job.TaskName(job_id, int(step), int(index))
