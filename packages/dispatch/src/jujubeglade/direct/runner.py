"""The runner: the only caller of the worker beside an agent.

It admits attempts by the worker's exact room, starts and stops them, holds the worker,
and tells owners how attempts ended. Its promises, with what each rests on:

| promise                              | rests on                                     |
|--------------------------------------|----------------------------------------------|
| never more than the worker's room    | what may still run counts; see `capacity`    |
| a refused attempt never starts       | the worker's answer, or a higher fence       |
| an ended attempt has ended           | the worker's list, its next life, or a hold  |
|                                      | that ran out on the worker's own clock       |
| nothing runs for a lost owner        | silence of the owner, checked before starts  |

After a restart a runner knows nothing. It starts nothing until the worker, under a
higher fencing token, has listed what runs and that has been stopped.
"""

import asyncio
import math

from jujubeglade.core import clock, log, metrics
from jujubeglade.direct import attempt as attempt_
from jujubeglade.direct import (
    background,
    capacity,
    contract,
    foreign,
    report_cache,
    worker,
    worker_lease,
)

#: How long a hold may wait for an end; several fit into the shortest hold.
_WAIT_MS = 300
#: A worker that is silent is looked at this often.
_RETRY_MS = 50
_SWEEP_MS = 50
_STOP_AGAIN_MS = 120
#: A worker that is about to leave says so within this time after an agent restarts.
_UNCONFIRMED_MS = 2000
#: A start that is carried out late is so within this time.
_LATE_MS = 15_000
#: Enough to pass any token that an earlier life of this agent may have used.
_TOKEN_LEAP = 1_000_000

_REFUSALS = {
    worker.Answer.NO_ROOM: contract.Refusal.ROOM,
    worker.Answer.OUTDATED_RUN: contract.Refusal.OUTDATED_RUN,
    worker.Answer.OTHER_INSTANCE: contract.Refusal.NO_WORKER,
    worker.Answer.UNREACHABLE: contract.Refusal.NO_WORKER,
}

_log = log.get(__name__)


class Runner:
    """Runs attempts on one worker."""

    __slots__ = (
        "_announcer",
        "_attempts",
        "_background",
        "_capacity",
        "_clean",
        "_clock",
        "_cursor",
        "_foreign",
        "_former",
        "_lease",
        "_hold_ms",
        "_instance",
        "_metrics",
        "_is_evacuated",
        "_port",
        "_report",
        "_responsive",
        "_retired",
        "_token",
        "_unconfirmed_until_ms",
        "_wakened",
        "leaving",
    )

    def __init__(self, port, wall, hold_ms, is_evacuated, announcer, held_metrics):
        """Begin without a worker.

        Args:
          port: A WorkerClient.
          wall: A Clock.
          hold_ms: An integer, the longest hold of the worker.
          is_evacuated: A function without arguments that tells whether this
            availability zone is out of service.
          announcer: An Announcer, told of changes of the room.
          held_metrics: A Metrics.
        """
        self._metrics = held_metrics
        self._port = port
        self._clock = wall
        self._hold_ms = hold_ms
        self._is_evacuated = is_evacuated
        self._announcer = announcer
        self._attempts = {}
        self._background = background.new_background()
        self._capacity = capacity.new_capacity()
        self._wakened = asyncio.Event()
        # Lives that are over, whose late reports tell nothing.
        self._retired = set()
        self._token = wall.wall_ms()
        self._instance = None
        # The life known last, which may be over.
        self._former = None
        self._report = None
        self._lease = None
        self._cursor = 0
        self._foreign = foreign.Foreign(self._background, self._stop_foreign)
        # Until when a worker that was only recalled may be started on.
        self._unconfirmed_until_ms = math.inf
        # Whether the worker has listed what it ran before.
        self._clean = False
        self._responsive = False
        self.leaving = False

    @property
    def running(self):
        """Return how many attempts are in hand."""
        return len(self._attempts)

    @property
    def report(self):
        """Return the Report of the worker that is known; None without one."""
        return self._report if self._instance is not None else None

    @property
    def is_idle(self):
        """Tell whether nothing may still run."""
        return not self._attempts

    def room(self, owner, revision, members):
        """Describe the room for an owner.

        Args:
          owner: An Owner.
          revision: An integer, of this agent's OperatorState.
          members: An integer, of its Members.

        Returns:
          A Room.
        """
        report = self._report
        return contract.Room(
            report.service if report else "",
            report.labels if report else (),
            self._capacity.total,
            self._capacity.free,
            self._refusal() is None,
            owner.begun,
            revision,
            members,
        )

    def roster(self, owner):
        """List what is held for an owner.

        Args:
          owner: An Owner.

        Returns:
          A Roster.
        """
        held = [each.key for each in self._attempts.values() if each.owner is owner]
        return contract.Roster(tuple(held), owner.ended)

    def begin(self, owner, begin):
        """Start an attempt, or refuse it.

        Args:
          owner: An Owner.
          begin: A Begin.
        """
        owner.begun = begin.number
        refusal = self._refusal() or self._mismatch(begin)
        if refusal is None and not self._capacity.take(begin.task, begin.needs):
            refusal = contract.Refusal.ROOM
        if refusal is not None:
            self._refuse(owner, begin, refusal)
            return
        now_ms = self._clock.now_ms()
        started = attempt_.new_attempt(owner, begin, now_ms, self._token)
        self._attempts[begin.task] = started
        self._announcer.on_room_change()
        self._spawn(self._start(started))

    def halt(self, owner, halt):
        """Stop an attempt of an owner, if it is there.

        Args:
          owner: An Owner.
          halt: A Halt.
        """
        held = self._attempts.get(halt.task)
        if held is not None and held.run == halt.run and held.owner is owner:
            self._halt(held)

    def drop_owner(self, owner):
        """Stop everything that runs for an owner that is lost.

        Args:
          owner: An Owner.
        """
        dropped = [each for each in self._attempts.values() if each.owner is owner]
        if dropped:
            _log.warning("owner lost", owner=owner.identity.name, stopped=len(dropped))
        for each in dropped:
            self._halt(each)

    def on_report(self, report):
        """Take what the worker says of itself.

        Args:
          report: A Report.
        """
        if report.instance in self._retired:
            return
        if report.instance != self._instance:
            if not self._follows(report.instance):
                _log.info("late report", worker=report.instance.name)
                return
            self._lose_instance("another life reports")
            self._adopt_instance(report)
        elif report.sequence <= self._report.sequence:
            return
        elif report.draining and not self._report.draining:
            _log.info("worker draining", worker=report.instance.name)
        self._report = report
        if report.sequence != report_cache.STORED_SEQUENCE:
            self._unconfirmed_until_ms = math.inf
        self._capacity.resize(report.total)
        self._announcer.on_state_change()

    def on_left(self, name):
        """Note that the worker has left.

        Args:
          name: A string, the worker's id.
        """
        if self._instance is not None and self._instance.name == name:
            self._lose_instance("it has left")
            self._announcer.on_state_change()

    async def run(self):
        """Renew the worker's lease, and watch over the attempts, until cancelled."""
        self._spawn(self._sweep())
        while True:
            if self._instance is None:
                self._wakened.clear()
                await self._wakened.wait()
            await self._poll_once()

    async def close(self):
        """End the tasks of this runner."""
        await self._background.close()

    def _refusal(self):
        """Tell why nothing may start now; None when something may."""
        if self._instance is None or not self._clean or not self._responsive:
            return contract.Refusal.NO_WORKER
        if self._clock.now_ms() > self._unconfirmed_until_ms:
            return contract.Refusal.NO_WORKER
        if self._foreign:
            return contract.Refusal.NO_WORKER
        if self._report.draining:
            return contract.Refusal.DRAINING
        if self.leaving:
            return contract.Refusal.LEAVING
        if self._is_evacuated():
            return contract.Refusal.EVACUATED
        return None

    def _mismatch(self, begin):
        """Tell why an attempt does not belong here; None when it does."""
        if begin.service != self._report.service:
            return contract.Refusal.OTHER_SERVICE
        if begin.label and begin.label not in self._report.labels:
            return contract.Refusal.OTHER_SERVICE
        held = self._attempts.get(begin.task)
        if held is not None:
            # The client has submitted the job to another entry: the former owner's
            # attempt ends first.
            self._halt(held)
            return contract.Refusal.DUPLICATE
        return None

    def _refuse(self, owner, begin, refusal):
        self._metrics.count(metrics.Counter.REJECTED, str(refusal))
        _log.info(
            "attempt refused",
            task=begin.task,
            run=begin.run,
            reason=refusal,
            free_cpu=self._capacity.free.cpu,
            needs_cpu=begin.needs.cpu,
        )
        owner.send(contract.Refused(begin.task, begin.run, str(refusal)))
        self._announcer.send_room(owner)

    async def _start(self, started):
        """Call the worker for an attempt."""
        begin = started.begin
        if started.owner.is_silent(self._clock.elapsed_ms()) or started.halted:
            self._drop_unstarted(started, contract.Refusal.LEAVING)
            return
        until_ms = self._lease.until_ms(self._clock.now_ms())
        if until_ms is None:
            self._drop_unstarted(started, contract.Refusal.NO_WORKER)
            return
        started.token = self._token
        target = worker.Target(self._instance, self._token)
        start = worker.Start(begin.task, begin.run, begin.spec, until_ms)
        reply = await self._port.start(target, start)
        if self._attempts.get(started.task) is not started:
            return
        if target.instance == self._instance:
            self._lease.note_clock(reply.clock_ms, self._clock.now_ms())
        self._handle_reply(started, reply.answer)

    def _handle_reply(self, started, answer):
        """Draw the conclusion from the answer to a start."""
        if answer is worker.Answer.OK:
            started.confirm(self._clock.now_ms())
            self._metrics.count(metrics.Counter.STARTED)
            if started.halted:
                self._spawn(self._stop(started))
        elif answer is worker.Answer.UNKNOWN:
            started.phase = attempt_.Phase.UNRESOLVED
            _log.warning(
                "start unanswered",
                task=started.task,
                run=started.run,
                token=self._token,
            )
            self._raise_token(started.token + 1)
        else:
            if answer is worker.Answer.FENCED:
                self._pass_fence(started.token)
            refusal = _REFUSALS.get(answer, contract.Refusal.WORKER_REFUSED)
            self._drop_unstarted(started, refusal)

    def _drop_unstarted(self, started, refusal):
        """Let go of an attempt that certainly does not run."""
        self._release(started)
        self._refuse(started.owner, started.begin, refusal)

    def _end(self, ended, how):
        """Let go of an attempt that has ended, and tell its owner."""
        self._release(ended)
        ran_ms = self._clock.now_ms() - ended.started_ms
        self._metrics.observe_latency(ended.begin.service, str(how), ran_ms)
        _log.info(
            "attempt ended",
            task=ended.task,
            run=ended.run,
            how=how,
            ran_ms=int(ran_ms),
            owner=ended.owner.identity.name,
        )
        heir = self._announcer.offer(ended.owner)
        keeps_room = heir is ended.owner
        ended.owner.send(
            contract.Ended(ended.task, ended.run, str(how), ran_ms, keeps_room)
        )

    def _release(self, held):
        del self._attempts[held.task]
        self._capacity.give_back(held.task)
        self._announcer.on_room_change()

    def _halt(self, held):
        if held.halted:
            return
        held.halted = True
        if held.phase is not attempt_.Phase.STARTING:
            self._spawn(self._stop(held))

    async def _stop(self, held):
        """Ask the worker to stop an attempt until that has ended."""
        while self._attempts.get(held.task) is held:
            if self._instance is None:
                await asyncio.sleep(clock.seconds(_STOP_AGAIN_MS))
                continue
            target = worker.Target(self._instance, self._token)
            reply = await self._port.stop(target, held.task, held.run)
            if reply.answer is worker.Answer.FENCED:
                self._pass_fence(target.token)
            if reply.answer is not worker.Answer.UNKNOWN:
                await asyncio.sleep(clock.seconds(_STOP_AGAIN_MS))

    async def _stop_foreign(self, key):
        """Ask the worker once to stop what this runner has not started."""
        await self._port.stop(worker.Target(self._instance, self._token), *key)

    async def _poll_once(self):
        """Poll the worker, and draw the conclusions from its answer."""
        instance = self._instance
        sent_ms = self._clock.now_ms()
        until_ms = self._lease.until_ms(sent_ms) if self._clean else None
        target = worker.Target(instance, self._token)
        wait_ms = _WAIT_MS if self._clean and self._responsive else 0
        look = await self._port.poll(target, self._cursor, until_ms, wait_ms)
        if instance != self._instance:
            return
        if look.started_ms and instance.started_ms not in (0, look.started_ms):
            # It has begun another life under the name that it had.
            self._lose_instance("another life answers")
            self._announcer.on_state_change()
            return
        self._lease.note_clock(look.clock_ms, self._clock.now_ms())
        if look.answer is worker.Answer.OK:
            self._apply(look, sent_ms, target.token)
            if not self._clean:
                await asyncio.sleep(clock.seconds(_RETRY_MS))
            return
        if look.answer is worker.Answer.FENCED:
            self._pass_fence(target.token)
        elif look.answer is worker.Answer.OTHER_INSTANCE:
            self._lose_instance("another life answers")
            self._announcer.on_state_change()
            return
        self._note_silent(look.answer)
        await asyncio.sleep(clock.seconds(_RETRY_MS))

    def _apply(self, look, sent_ms, token):
        """Compare what the worker lists with what should run there."""
        self._lease.note_answer(self._clock.now_ms())
        for finished in look.finished:
            self._handle_finished(finished)
        if look.is_partial:
            return
        running = set(look.running)
        for held in list(self._attempts.values()):
            if held.key in running:
                self._handle_running(held)
            else:
                self._handle_absent(held, sent_ms, token)
        self._handle_foreign(running)
        # What another life has started is not held, so that it ends by itself even if
        # no stop arrives.
        clean = self._clean or not self._foreign
        if not self._responsive or clean != self._clean:
            _log.info(
                "worker answers", worker=self._instance.name, token=token, clean=clean
            )
            self._responsive = True
            self._clean = clean
            self._announcer.on_state_change()

    def _handle_finished(self, finished):
        if finished.number <= self._cursor:
            return
        self._cursor = finished.number
        held = self._attempts.get(finished.task)
        if held is not None and held.run == finished.run:
            self._end(held, finished.how)

    def _handle_running(self, held):
        held.is_listed = True
        if held.phase is attempt_.Phase.UNRESOLVED:
            held.confirm(self._clock.now_ms())
            if held.halted:
                self._spawn(self._stop(held))

    def _handle_absent(self, held, sent_ms, token):
        """Decide what became of an attempt that the worker does not list."""
        if held.phase is attempt_.Phase.UNRESOLVED:
            if held.token < token:
                self._drop_unstarted(held, contract.Refusal.LOST)
        elif held.phase is attempt_.Phase.RUNNING and held.confirmed_ms < sent_ms:
            self._end(held, contract.End.LOST)

    def _handle_foreign(self, running):
        ours = {held.key for held in self._attempts.values()}
        if self._foreign.update(running - ours):
            self._announcer.on_state_change()

    def _note_silent(self, answer):
        """Stop relying on a worker that does not answer."""
        if self._responsive:
            self._responsive = False
            _log.warning("worker silent", worker=self._instance.name, answer=answer)
            self._announcer.on_state_change()
        if not self._lease.has_lapsed(self._clock.now_ms()):
            return
        for held in list(self._attempts.values()):
            if held.phase is attempt_.Phase.RUNNING:
                self._end(held, contract.End.LAPSED)

    def _follows(self, instance):
        """Tell whether a life can be later than the one known."""
        if self._instance is None or not instance.started_ms:
            return True
        return instance.started_ms >= self._instance.started_ms

    def _adopt_instance(self, report):
        _log.info(
            "worker reports",
            worker=report.instance.name,
            service=report.service,
            cpu=report.total.cpu,
        )
        self._settle_starts(self._former, report.instance)
        self._former = report.instance
        self._instance = report.instance
        self._lease = worker_lease.new_worker_lease(self._hold_ms, self._clock.now_ms())
        self._cursor = 0
        self._clean = False
        self._responsive = False
        self._unconfirmed_until_ms = self._clock.now_ms() + _UNCONFIRMED_MS
        self._raise_token(self._token + 1)
        self._wakened.set()

    def _lose_instance(self, cause):
        """End everything that ran in a life of the worker that is over.

        A start that no list of that life has shown may have been carried out by the
        next one, if that has the same name; it is settled once that life has listed
        what it runs.
        """
        if self._instance is None:
            return
        _log.warning("worker lost", worker=self._instance.name, cause=cause)
        self._retired.add(self._instance)
        self._instance = None
        self._foreign.forget()
        for held in list(self._attempts.values()):
            if held.is_listed:
                self._end(held, contract.End.LOST)
            elif held.phase is attempt_.Phase.RUNNING:
                held.phase = attempt_.Phase.UNRESOLVED

    def _settle_starts(self, former, instance):
        """Let go of starts under way that the new life of a worker does not take."""
        if former is None or former.name == instance.name:
            return
        for held in list(self._attempts.values()):
            self._drop_unstarted(held, contract.Refusal.LOST)

    def _raise_token(self, token):
        self._token = max(self._token, token)

    def _pass_fence(self, token):
        """Choose a token above one that the worker has refused."""
        if token == self._token:
            self._raise_token(token + _TOKEN_LEAP)
            _log.warning("fencing token raised", token=self._token)

    async def _sweep(self):
        """Stop attempts that are of no use any more."""
        while True:
            await asyncio.sleep(clock.seconds(_SWEEP_MS))
            now_ms = self._clock.now_ms()
            for held in list(self._attempts.values()):
                if now_ms > held.end_by_ms:
                    self._halt(held)
                if self._instance is None and now_ms > held.end_by_ms + _LATE_MS:
                    self._end(held, contract.End.LOST)

    def _spawn(self, coroutine):
        self._background.spawn(coroutine)
