"""A simulated worker of direct jobs in memory, behind the `WorkerClient` interface.

It follows the protocol of a worker: run numbers, fencing tokens, the worker lease, and
finished attempts that are listed until the agent acknowledges them. A `Witness` records
every violation of the invariants.
"""

import asyncio
import collections
import contextvars
import dataclasses

from jujubeglade.core import clock
from jujubeglade.direct import contract, job, worker

#: A task must not be started as many times again after as many crashes.
_MANY_CRASHES = 3
#: How long an attempt still runs after its stop.
_STOP_MS = 20
#: The agent's timeouts for the answer to a call, to a poll and to a stop.
_ANSWER_TIMEOUT_MS = 300
_POLL_ANSWER_TIMEOUT_MS = 200
_STOP_ANSWER_TIMEOUT_MS = 100
_REPORT_INTERVAL_MS = 1500


class Witness:
    """Records the starts and ends on all workers of a site, and the violations."""

    def __init__(self):
        """Create a witness without records."""
        #: The names of the workers that run a task, by task.
        self.running = {}
        self.violations = []
        # The start of each current run, by worker and task.
        self._started_ms = {}
        # The indexes of the violations that each task is part of.
        self._violation_indexes = {}
        #: The worker's name for each start, in order.
        self.log = []
        #: The tasks that were started, and those that an attempt has completed.
        self.started = set()
        self.done = set()
        #: The number of workers that each task has crashed.
        self.crashes = collections.Counter()
        # The number of starts of each task after that many crashes.
        self._late_starts = collections.Counter()

    @property
    def starts(self):
        """Return the number of starts."""
        return len(self.log)

    def begin(self, name, task):
        """Record that a worker starts a task."""
        self.log.append(name)
        self.started.add(task)
        workers = self.running.setdefault(task, [])
        self._started_ms[name, task] = _now_ms()
        if workers:
            self._record_second_run(workers[0], name, task)
        workers.append(name)
        if self.crashes[task] >= _MANY_CRASHES:
            self._record_late_start(task)

    def end(self, name, task, how=""):
        """Record that a worker ends an attempt of a task."""
        self.running[task].remove(name)
        del self._started_ms[name, task]
        for index in self._violation_indexes.get(task, ()):
            self.violations[index] += f"; on {name} until {_now_ms():.0f} ms ({how})"
        if not self.running[task]:
            self._violation_indexes.pop(task, None)
        if how == contract.End.DONE:
            self.done.add(task)

    def _record_late_start(self, task):
        self._late_starts[task] += 1
        if self._late_starts[task] == _MANY_CRASHES:
            self.violations.append(
                f"{task} was started {_MANY_CRASHES} times more after "
                f"{_MANY_CRASHES} crashes"
            )

    def record_crash(self, task):
        """Record that a task has crashed its worker."""
        self.crashes[task] += 1

    def record_overload(self, name, used, total):
        """Record that a worker runs more than its capacity."""
        self.violations.append(f"{name} runs {used.cpu} of {total.cpu}")

    def _record_second_run(self, first, second, task):
        first_ms = self._started_ms[first, task]
        second_ms = self._started_ms[second, task]
        self._violation_indexes.setdefault(task, []).append(len(self.violations))
        self.violations.append(
            f"{task} runs on {first} and on {second}: on {first} from {first_ms:.0f} ms"
            f", on {second} from {second_ms:.0f} ms"
        )


class _Attempt:
    """One attempt of a task that the worker runs."""

    __slots__ = ("needs", "number", "task", "timer")

    def __init__(self, task, number, needs, timer):
        self.task = task
        self.number = number
        self.needs = needs
        self.timer = timer


class SimulatedWorker(worker.WorkerClient):
    """One worker, with the calls that its agent makes."""

    def __init__(self, name, total, witness, rng):
        """Create an idle worker; it sends its first report in `open`.

        Args:
          name: A string.
          total: A Resources.
          witness: A Witness.
          rng: A random.Random.
        """
        self.name = name
        self.total = total
        self.service = "parts"
        self.labels = ()
        #: The factor by which the run times of tasks are multiplied.
        self.slowdown = 1.0
        #: The same for tasks whose data is in another rack.
        self.remote_penalty = 1.0
        #: The share of attempts that fail.
        self.failure_share = 0.0
        #: The share of starts that get no answer and are executed late.
        self.late_start_share = 0.0
        #: The share of stops that get no answer and are not executed.
        self.lost_stop_share = 0.0
        #: How many stops of each run are lost before one is executed.
        self.lost_first_stops = 0
        #: The share of stops that get no answer and are executed late.
        self.late_stop_share = 0.0
        #: The share of polls that get no answer and are not executed.
        self.lost_poll_share = 0.0
        #: The share of polls that get no answer and are executed late.
        self.late_poll_share = 0.0
        #: Whether the lease of a late call counts from its execution.
        self.late_lease_shifts = False
        #: The shortest and the longest delay of late calls.
        self.late_ms = (310, 4000)
        #: How long an attempt still runs after its stop.
        self.stop_ms = _STOP_MS
        #: The rate of the worker's clock.
        self.clock_rate = 1.0
        #: Whether it refuses calls to an earlier incarnation of the same name.
        self.checks_incarnation = True
        #: Whether no call gets an answer.
        self.silent = False
        #: Whether its reports are lost.
        self.loses_reports = False
        #: For how long a start may exceed resources that have shrunk.
        self.shrink_slack_ms = 0
        #: The tasks that crash each worker that starts them.
        self.crashing_tasks = frozenset()
        #: How long after its start such a task crashes the worker; before the answer
        #: to the start if it is 0.
        self.crash_delay_ms = 10
        #: How long the worker is away after such a crash.
        self.crash_ms = 3300
        self.draining = False
        #: The number of stops that it was sent.
        self.stop_calls = 0
        #: A call renews the worker lease for at most this time from now.
        self.hold_ms = 1000
        self._witness = witness
        self._rng = rng
        # Pairs of a time up to which starts may use former resources, and these.
        self._former_totals = []
        self._full_cpu = total.cpu
        # Its timers run in this context, not in that of the process that calls it.
        self._context = contextvars.copy_context()
        self._listener = None
        self._started_ms = 1
        self._sequence = 0
        self._sends_reports = False
        self._reset()

    def _reset(self):
        self._attempts = {}
        self._finished = []
        self._ended_runs = {}
        # The number of stops of each run, by pairs of a TaskName and a run.
        self._stop_counts = collections.Counter()
        self._end_count = 0
        self._token = 0
        self._lease_until_ms = 0
        self._expiry_timer = None
        self._end_event = asyncio.Event()

    @property
    def instance(self):
        """Return the Instance that identifies the current incarnation."""
        return worker.Instance(self.name, self._started_ms)

    @property
    def full_cpu(self):
        """Return the thousandths of a core that it had at first."""
        return self._full_cpu

    @property
    def clock_ms(self):
        """Return the worker's own clock."""
        return self._now_ms()

    @property
    def token(self):
        """Return the highest fencing token that it has seen."""
        return self._token

    @property
    def running(self):
        """Return the number of running attempts."""
        return len(self._attempts)

    async def open(self, listener):
        """Send the first report; see `WorkerClient.open`."""
        self.attach(listener)
        self.start_reports()

    async def close(self):
        """Do nothing; see `WorkerClient.close`."""

    def report(self):
        """Send a report to the agent, unless reports are lost."""
        self._sequence += 1
        if self.loses_reports:
            return
        self._listener.on_report(
            worker.Report(
                self.instance,
                self._sequence,
                self.service,
                self.labels,
                self.total,
                self.draining,
                self.clock_ms,
            )
        )

    def start_reports(self):
        """Send reports at an interval, if it doesn't yet."""
        if not self._sends_reports:
            self._sends_reports = True
            self._call_later(_REPORT_INTERVAL_MS, self._report_again)

    def _report_again(self):
        self.report()
        self._call_later(_REPORT_INTERVAL_MS, self._report_again)

    def resize(self, cpu):
        """Change the resources of the worker while it runs, and report them.

        Args:
          cpu: An integer, thousandths of a core.
        """
        until_ms = _now_ms() + self.shrink_slack_ms
        self._former_totals.append((until_ms, self.total))
        self.total = dataclasses.replace(self.total, cpu=cpu)
        self.report()

    def attach(self, listener):
        """Send the reports to the next incarnation of the agent, starting now."""
        self._listener = listener
        self.report()

    def crash(self, *, reports=True, set_back_ms=-1):
        """End all attempts and start the next incarnation.

        Args:
          reports: A boolean, whether the new incarnation reports at once.
          set_back_ms: An integer, by how much its start is earlier than that of the
            incarnation before, on its own clock.
        """
        for attempt in list(self._attempts.values()):
            attempt.timer.cancel()
            self._witness.end(self.name, attempt.task)
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._reset()
        self._started_ms -= set_back_ms
        self._sequence = 0
        if reports:
            self.report()

    def leave(self):
        """Send that it leaves, and end with all that it runs."""
        self._listener.on_left(self.name)
        self.crash(reports=False)

    async def start(self, target, start):
        """Start a task; see `WorkerClient.start`."""
        if self._rng.random() < self.late_start_share:
            late_ms = self._rng.uniform(*self.late_ms)
            until_ms = self._late_lease(start.lease_until_ms, late_ms)
            late = dataclasses.replace(start, lease_until_ms=until_ms)
            self._call_later(late_ms, self._start, target, late)
            return await self._time_out(worker.Reply)
        if self.silent:
            return await self._time_out(worker.Reply)
        answer = self._start(target, start)
        if self.silent:
            return await self._time_out(worker.Reply)
        return worker.Reply(answer, self._now_ms())

    async def stop(self, target, task, run):
        """Stop an attempt; see `WorkerClient.stop`."""
        self.stop_calls += 1
        self._stop_counts[task, run] += 1
        is_early = self._stop_counts[task, run] <= self.lost_first_stops
        if self.silent or is_early or self._rng.random() < self.lost_stop_share:
            return await self._time_out(worker.Reply, _STOP_ANSWER_TIMEOUT_MS)
        if self.late_stop_share and self._rng.random() < self.late_stop_share:
            late_ms = self._rng.uniform(*self.late_ms)
            self._call_later(late_ms, self._stop, target, task, run)
            return await self._time_out(worker.Reply, _STOP_ANSWER_TIMEOUT_MS)
        return worker.Reply(self._stop(target, task, run), self._now_ms())

    async def poll(self, target, cursor, lease_until_ms, wait_ms):
        """Renew the worker lease; see `WorkerClient.poll`."""
        poll_timeout_ms = wait_ms + _POLL_ANSWER_TIMEOUT_MS
        if self.silent or self._rng.random() < self.lost_poll_share:
            return await self._time_out(worker.PollReply, poll_timeout_ms)
        if self.late_poll_share and self._rng.random() < self.late_poll_share:
            late_ms = self._rng.uniform(*self.late_ms)
            until_ms = self._late_lease(lease_until_ms, late_ms)
            self._call_later(late_ms, self._extend_late, target, until_ms)
            return await self._time_out(worker.PollReply, poll_timeout_ms)
        answer = self._admit(target)
        if answer is not worker.Answer.OK:
            return worker.PollReply(answer, self._now_ms())
        self._extend_lease(lease_until_ms)
        self._finished = [end for end in self._finished if end.number > cursor]
        if not self._finished and wait_ms:
            self._end_event.clear()
            try:
                async with asyncio.timeout(clock.seconds(wait_ms)):
                    await self._end_event.wait()
            except TimeoutError:
                pass
        if self.silent:
            return await self._time_out(worker.PollReply, poll_timeout_ms)
        running = tuple(
            (attempt.task, attempt.number) for attempt in self._attempts.values()
        )
        return worker.PollReply(
            worker.Answer.OK,
            self._now_ms(),
            running,
            tuple(self._finished),
            started_ms=self._started_ms,
        )

    def _start(self, target, start):
        answer = self._admit(target)
        if answer is not worker.Answer.OK:
            return answer
        attempt = self._attempts.get(start.task)
        if attempt is not None and attempt.number == start.run:
            return worker.Answer.OK
        if start.run <= self._ended_runs.get(start.task, 0) or attempt is not None:
            return worker.Answer.OUTDATED_RUN
        if start.lease_until_ms <= self._now_ms():
            return worker.Answer.TOO_LATE
        self._extend_lease(start.lease_until_ms)
        fields = start.spec.split()
        needs = job.Resources(int(fields[0]), 0, 0)
        run_ms = float(fields[1]) * self.slowdown
        if len(fields) > 2 and fields[2] not in self.labels:
            run_ms *= self.remote_penalty
        timer = self._call_later(run_ms, self._finish, start.task)
        self._attempts[start.task] = _Attempt(start.task, start.run, needs, timer)
        self._witness.begin(self.name, start.task)
        used = job.NOTHING
        for attempt in self._attempts.values():
            used = used.plus(attempt.needs)
        allowed = self._allowed_total()
        if not allowed.covers(used):
            self._witness.record_overload(self.name, used, allowed)
        if start.task in self.crashing_tasks:
            self._crash_soon(start.task)
        return worker.Answer.OK

    def _allowed_total(self):
        """Return the most resources that starts may use now."""
        allowed = self.total
        for until_ms, former in self._former_totals:
            if _now_ms() < until_ms:
                allowed = allowed.maximum(former)
        return allowed

    def _crash_soon(self, task):
        if self.crash_delay_ms:
            self._call_later(self.crash_delay_ms, self._crash_by, task)
        else:
            self._crash_by(task)

    def _crash_by(self, task):
        """Crash because a task runs, and be away for some time."""
        if task not in self._attempts:
            return
        self._witness.record_crash(task)
        self.crash(reports=False)
        self.silent = True
        self.loses_reports = True
        self._call_later(self.crash_ms, self._return)

    def _return(self):
        self.silent = False
        self.loses_reports = False
        self.report()

    def _stop(self, target, task, run):
        answer = self._admit(target)
        if answer is not worker.Answer.OK:
            return answer
        attempt = self._attempts.get(task)
        if attempt is None:
            self._ended_runs[task] = max(run, self._ended_runs.get(task, 0))
        elif attempt.number <= run:
            attempt.timer.cancel()
            attempt.timer = self._call_later(
                self.stop_ms, self._end, task, contract.End.STOPPED
            )
        return worker.Answer.OK

    def _finish(self, task):
        failed = self._rng.random() < self.failure_share
        self._end(task, contract.End.FAILED if failed else contract.End.DONE)

    def _end(self, task, how):
        attempt = self._attempts.pop(task)
        attempt.timer.cancel()
        self._witness.end(self.name, task, how)
        self._ended_runs[task] = attempt.number
        self._end_count += 1
        self._finished.append(
            worker.Finished(self._end_count, task, attempt.number, how)
        )
        self._end_event.set()

    def _admit(self, target):
        if self.checks_incarnation:
            is_addressed = target.instance == self.instance
        else:
            is_addressed = target.instance.name == self.name
        if not is_addressed:
            return worker.Answer.OTHER_INSTANCE
        if target.token < self._token:
            return worker.Answer.FENCED
        self._token = target.token
        return worker.Answer.OK

    def _extend_lease(self, until_ms):
        if until_ms is None:
            return
        latest_ms = self._now_ms() + self.hold_ms
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, latest_ms))
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        remaining_ms = self._lease_until_ms - self._now_ms()
        self._expiry_timer = self._call_later(
            remaining_ms / self.clock_rate, self._expire_lease
        )

    def _extend_late(self, target, until_ms):
        """Execute a poll whose caller no longer waits for the answer."""
        if self._admit(target) is worker.Answer.OK:
            self._extend_lease(until_ms)

    def _late_lease(self, until_ms, late_ms):
        """Return the end of the lease that a call sets when it is executed late."""
        if until_ms is None or not self.late_lease_shifts:
            return until_ms
        return until_ms + late_ms * self.clock_rate

    def _expire_lease(self):
        for task in list(self._attempts):
            self._end(task, contract.End.LAPSED)

    def _now_ms(self):
        """Return the worker's own clock."""
        return _now_ms() * self.clock_rate

    def _call_later(self, delay_ms, function, *arguments):
        loop = asyncio.get_running_loop()
        delay_s = clock.seconds(delay_ms)
        return loop.call_later(delay_s, function, *arguments, context=self._context)

    async def _time_out(self, kind, wait_ms=_ANSWER_TIMEOUT_MS):
        await asyncio.sleep(clock.seconds(wait_ms))
        return kind(worker.Answer.UNKNOWN)


def _now_ms():
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time() * clock.MILLISECONDS_PER_SECOND
