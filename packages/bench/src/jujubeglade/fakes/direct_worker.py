"""A worker of direct jobs, in memory: what a `WorkerClient` reaches.

It keeps a worker's rules (run numbers, fencing tokens, holds, ends listed until they
are taken note of) and notes in a `Witness` whatever must never be seen.
"""

import asyncio

from jujubeglade.core import clock
from jujubeglade.direct import contract, job, worker

_STOP_MS = 20
#: How long an agent waits for an answer, and for that to a stop.
_ANSWER_MS = 300
_STOP_ANSWER_MS = 100


class Witness:
    """What the workers of one site saw that must never happen."""

    def __init__(self):
        """Begin with nothing seen."""
        self.running = {}
        self.violations = []
        #: The worker of each start, in order.
        self.log = []
        #: The tasks that were begun, and those of which an attempt ended as done.
        self.begun = set()
        self.done = set()

    @property
    def starts(self):
        """Return how many tasks were begun."""
        return len(self.log)

    def begin(self, name, task):
        """Note that a worker begins a task."""
        self.log.append(name)
        self.begun.add(task)
        elsewhere = self.running.setdefault(task, [])
        if elsewhere:
            self.violations.append(f"{task} runs on {elsewhere[0]} and on {name}")
        elsewhere.append(name)

    def end(self, name, task, how=""):
        """Note that a worker ends a task."""
        self.running[task].remove(name)
        if how == contract.End.DONE:
            self.done.add(task)

    def over_capacity(self, name, used, total):
        """Note that a worker runs more than it can."""
        self.violations.append(f"{name} runs {used.cpu} of {total.cpu}")


class _Run:
    """One run of a task."""

    __slots__ = ("needs", "number", "task", "timer")

    def __init__(self, task, number, needs, timer):
        self.task = task
        self.number = number
        self.needs = needs
        self.timer = timer


class SimulatedWorker(worker.WorkerClient):
    """One worker and the calls to it."""

    def __init__(self, name, total, witness, chance):
        """Begin a worker that runs nothing; `open` lets it report.

        Args:
          name: A string.
          total: A Resources.
          witness: A Witness.
          chance: A random.Random.
        """
        self.name = name
        self.total = total
        self.service = "parts"
        self.labels = ()
        #: Real run times as a multiple of the tasks' own.
        self.slowdown = 1.0
        #: The share of tasks that fail.
        self.failure_share = 0.0
        #: The share of orders that get no answer and are carried out later.
        self.late_start_share = 0.0
        #: The share of stops that get no answer and are not carried out.
        self.lost_stop_share = 0.0
        #: The share of holds that get no answer and are not carried out.
        self.lost_poll_share = 0.0
        #: The least and the most time until such an order is carried out, in ms.
        self.late_ms = (310, 4000)
        #: Whether it refuses calls that are meant for a former life of the same name.
        self.checks_incarnation = True
        self.silent = False
        self.draining = False
        self.hold_ms = 1000
        self._witness = witness
        self._chance = chance
        self._listener = None
        self._born_ms = 1
        self._sequence = 0
        self._clear()

    def _clear(self):
        self._runs = {}
        self._finished = []
        self._ended_runs = {}
        self._ends = 0
        self._token = 0
        self._held_until_ms = 0
        self._lapse = None
        self._news = asyncio.Event()

    @property
    def instance(self):
        """Return the Instance of the life it is in."""
        return worker.Instance(self.name, self._born_ms)

    @property
    def running(self):
        """Return how many tasks run."""
        return len(self._runs)

    async def open(self, listener):
        """Report for the first time; see `WorkerClient.open`."""
        self._listener = listener
        self.report()

    async def close(self):
        """Do nothing; see `WorkerClient.close`."""

    def report(self):
        """Report to the agent."""
        self._sequence += 1
        self._listener.on_report(
            worker.Report(
                self.instance,
                self._sequence,
                self.service,
                self.labels,
                self.total,
                self.draining,
            )
        )

    def attach(self, listener):
        """Report to the agent's next life."""
        self._listener = listener
        self.report()

    def crash(self, *, reports=True):
        """End everything that runs, and begin another life.

        Args:
          reports: A boolean, whether the new life says so at once.
        """
        for run in list(self._runs.values()):
            run.timer.cancel()
            self._witness.end(self.name, run.task)
        self._clear()
        self._born_ms += 1
        self._sequence = 0
        if reports:
            self.report()

    async def start(self, target, start):
        """Start a task; see `WorkerClient.start`."""
        if self._chance.random() < self.late_start_share:
            late_ms = self._chance.uniform(*self.late_ms)
            asyncio.get_running_loop().call_later(
                clock.seconds(late_ms), self._start, target, start
            )
            return await self._no_answer(worker.Reply)
        if self.silent:
            return await self._no_answer(worker.Reply)
        return worker.Reply(self._start(target, start), self._now_ms())

    async def stop(self, target, task, run):
        """Stop an attempt; see `WorkerClient.stop`."""
        if self.silent or self._chance.random() < self.lost_stop_share:
            return await self._no_answer(worker.Reply, _STOP_ANSWER_MS)
        return worker.Reply(self._stop(target, task, run), self._now_ms())

    async def poll(self, target, cursor, lease_until_ms, wait_ms):
        """Keep what runs alive; see `WorkerClient.poll`."""
        if self.silent or self._chance.random() < self.lost_poll_share:
            return await self._no_answer(worker.PollReply)
        answer = self._admit(target)
        if answer is not worker.Answer.OK:
            return worker.PollReply(answer, self._now_ms())
        self._extend(lease_until_ms)
        self._finished = [each for each in self._finished if each.number > cursor]
        if not self._finished and wait_ms:
            self._news.clear()
            try:
                async with asyncio.timeout(clock.seconds(wait_ms)):
                    await self._news.wait()
            except TimeoutError:
                pass
        if self.silent:
            return await self._no_answer(worker.PollReply)
        running = tuple((run.task, run.number) for run in self._runs.values())
        return worker.PollReply(
            worker.Answer.OK,
            self._now_ms(),
            running,
            tuple(self._finished),
            started_ms=self._born_ms,
        )

    def _start(self, target, start):
        answer = self._admit(target)
        if answer is not worker.Answer.OK:
            return answer
        held = self._runs.get(start.task)
        if held is not None and held.number == start.run:
            return worker.Answer.OK
        if start.run <= self._ended_runs.get(start.task, 0) or held is not None:
            return worker.Answer.OUTDATED_RUN
        self._extend(start.lease_until_ms)
        fields = start.spec.split()
        needs = job.Resources(int(fields[0]), 0, 0)
        run_ms = float(fields[1]) * self.slowdown
        loop = asyncio.get_running_loop()
        timer = loop.call_later(clock.seconds(run_ms), self._done, start.task)
        self._runs[start.task] = _Run(start.task, start.run, needs, timer)
        self._witness.begin(self.name, start.task)
        used = job.NOTHING
        for run in self._runs.values():
            used = used.plus(run.needs)
        if not self.total.covers(used):
            self._witness.over_capacity(self.name, used, self.total)
        return worker.Answer.OK

    def _stop(self, target, task, run):
        answer = self._admit(target)
        if answer is not worker.Answer.OK:
            return answer
        held = self._runs.get(task)
        if held is None:
            self._ended_runs[task] = max(run, self._ended_runs.get(task, 0))
        elif held.number <= run:
            held.timer.cancel()
            held.timer = asyncio.get_running_loop().call_later(
                clock.seconds(_STOP_MS), self._end, task, contract.End.STOPPED
            )
        return worker.Answer.OK

    def _done(self, task):
        failed = self._chance.random() < self.failure_share
        self._end(task, contract.End.FAILED if failed else contract.End.DONE)

    def _end(self, task, how):
        run = self._runs.pop(task)
        run.timer.cancel()
        self._witness.end(self.name, task, how)
        self._ended_runs[task] = run.number
        self._ends += 1
        self._finished.append(worker.Finished(self._ends, task, run.number, how))
        self._news.set()

    def _admit(self, target):
        if self.checks_incarnation:
            is_meant = target.instance == self.instance
        else:
            is_meant = target.instance.name == self.name
        if not is_meant:
            return worker.Answer.OTHER_INSTANCE
        if target.token < self._token:
            return worker.Answer.FENCED
        self._token = target.token
        return worker.Answer.OK

    def _extend(self, until_ms):
        if until_ms is None:
            return
        most_ms = self._now_ms() + self.hold_ms
        self._held_until_ms = max(self._held_until_ms, min(until_ms, most_ms))
        if self._lapse is not None:
            self._lapse.cancel()
        left_ms = self._held_until_ms - self._now_ms()
        self._lapse = asyncio.get_running_loop().call_later(
            clock.seconds(left_ms), self._run_out
        )

    def _run_out(self):
        for task in list(self._runs):
            self._end(task, contract.End.LAPSED)

    def _now_ms(self):
        return asyncio.get_running_loop().time() * clock.MILLISECONDS_PER_SECOND

    async def _no_answer(self, kind, wait_ms=_ANSWER_MS):
        await asyncio.sleep(clock.seconds(wait_ms))
        return kind(worker.Answer.UNKNOWN)
