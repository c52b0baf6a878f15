"""The runner: the only caller of the worker beside an agent.

It admits attempts by the worker's exact room, starts and stops them, renews the worker
lease, and reports to owners how attempts ended. Its guarantees, and their basis:

| guarantee                                | basis                                     |
|------------------------------------------|-------------------------------------------|
| never uses more than the worker's room   | whatever may still run counts; `capacity` |
| an attempt reported as refused never     | the worker's answer, or a higher fencing  |
| starts                                   | token                                     |
| an attempt reported as ended has ended   | the worker's list, its next incarnation,  |
|                                          | or a lease that expired on its own clock  |
| nothing runs for a lost owner            | owners that fall silent are dropped, and  |
|                                          | the lease expires before their clients'   |
|                                          | next submissions can start                |

A runner has no state after a restart. It starts nothing until the worker, under a
higher fencing token, has listed its running attempts and these have been stopped.
"""

import asyncio
import dataclasses
import math

from jujubeglade.core import clock, log, metrics
from jujubeglade.direct import attempt as attempt_
from jujubeglade.direct import (
    background,
    capacity,
    contract,
    crash_watch,
    crashes,
    foreign_attempts,
    held_begins,
    incarnations,
    report_age,
    report_cache,
    stops,
    sweep,
    worker,
    worker_lease,
)

#: How long the worker may delay its reply to a poll until an attempt ends. The lease
#: outlasts a poll without an answer.
_POLL_WAIT_MS = 200
#: The interval of polls while the worker does not answer, and until it has listed its
#: attempts and those that this runner has not started have ended.
_POLL_RETRY_MS = 50
#: The worker lease expires this long before a client's next submission can start.
_RESUBMIT_MARGIN_MS = 50
#: Nothing starts while the lease could be extended by less than this.
_MIN_LEASE_LIMIT_MS = 100
#: How long a new instance is relied on before it reports. A worker that is about to
#: leave reports so within this time after an agent restarts.
_UNCONFIRMED_LIMIT_MS = 2000
#: Exceeds any token that an earlier incarnation of this agent may have used.
_TOKEN_INCREMENT = 1_000_000

_REFUSALS = {
    worker.Answer.FENCED: contract.Refusal.LOST,
    worker.Answer.NO_ROOM: contract.Refusal.ROOM,
    worker.Answer.OUTDATED_RUN: contract.Refusal.OUTDATED_RUN,
    worker.Answer.OTHER_INSTANCE: contract.Refusal.NO_WORKER,
    worker.Answer.UNREACHABLE: contract.Refusal.NO_WORKER,
}

_log = log.get(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The times that bound what an agent may conclude or do.

    Attributes:
      lease_ms: An integer, the longest lease of the worker.
      resubmit_ms: An integer, how long after their connection broke clients submit
        again.
      report_valid_ms: An integer, the age of the worker's report up to which attempts
        may start by the resources in it.
    """

    lease_ms: int
    resubmit_ms: int
    report_valid_ms: int


class Runner:
    """Runs attempts on one worker."""

    __slots__ = (
        "_announcer",
        "_attempts",
        "_background",
        "_capacity",
        "_clean",
        "_clock",
        "_crash_watch",
        "_cursor",
        "_foreign",
        "_held",
        "_lease",
        "_limits",
        "_incarnations",
        "_metrics",
        "_is_evacuated",
        "_worker_client",
        "_report",
        "_report_age",
        "_responsive",
        "_unanswered_polls",
        "_token",
        "_token_floor",
        "_unconfirmed_until_ms",
        "_instance_known",
        "leaving",
    )

    def __init__(
        self,
        worker_client,
        clock,
        limits,
        is_evacuated,
        announcer,
        metrics,
    ):
        """Create a runner without a worker.

        Args:
          worker_client: A WorkerClient.
          clock: A Clock.
          limits: A Limits.
          is_evacuated: A function without arguments that returns whether this
            availability zone is out of service.
          announcer: An Announcer, notified of changes of the room.
          metrics: A Metrics.
        """
        self._metrics = metrics
        self._worker_client = worker_client
        self._clock = clock
        self._limits = limits
        self._is_evacuated = is_evacuated
        self._announcer = announcer
        self._attempts = {}
        self._background = background.new_background()
        self._capacity = capacity.new_capacity()
        self._instance_known = asyncio.Event()
        self._incarnations = incarnations.Incarnations()
        self._crash_watch = crash_watch.new_crash_watch(announcer, metrics)
        self._token = clock.wall_ms()
        self._token_floor = self._token
        self._report = None
        self._report_age = report_age.ReportAge()
        self._lease = None
        self._cursor = 0
        self._foreign = foreign_attempts.ForeignAttempts(self._background, self._stop)
        self._held = held_begins.HeldBegins()
        # Until when attempts may start although the instance has not reported itself,
        # as its report comes from the store; infinite once it has.
        self._unconfirmed_until_ms = math.inf
        # Whether the worker has listed its running attempts, and all attempts that
        # this runner has not started have ended.
        self._clean = False
        # Whether the worker answers polls.
        self._responsive = False
        # The number of polls in a row that the worker has not answered.
        self._unanswered_polls = 0
        self.leaving = False

    @property
    def _instance(self):
        """Return the current Instance; None without a worker."""
        return self._incarnations.current

    @property
    def running(self):
        """Return the number of attempts that may still run."""
        return len(self._attempts)

    @property
    def report(self):
        """Return the latest Report of the current worker; None without a worker."""
        return self._report if self._instance is not None else None

    @property
    def token_floor(self):
        """Return a fencing token that none of this incarnation is much above.

        Tokens rise by one for each call without an answer, far less often than
        `_TOKEN_INCREMENT` times in the life of an agent.
        """
        return self._token_floor

    def succeed_token(self, floor):
        """Choose a fencing token above those of an earlier incarnation of this agent.

        Args:
          floor: An integer, its `token_floor`.
        """
        self._raise_token(floor + _TOKEN_INCREMENT)
        self._token_floor = self._token

    @property
    def is_idle(self):
        """Return whether nothing may still run."""
        return not self._attempts

    def room(self, configuration, evacuations, members, owners):
        """Describe the room, as it is for every owner; see `Owner.send_room`.

        Args:
          configuration: An integer, the newest revision that an owner has.
          evacuations: An integer, the revision of this agent's Evacuations.
          members: An integer, that of its Members.
          owners: An iterable of all Owners, who know of larger workers.

        Returns:
          A Room.
        """
        report = self._report
        service = report.service if report else ""
        largest = self._capacity.total
        for owner in owners:
            largest = largest.maximum(owner.largest(service))
        return contract.Room(
            service,
            report.labels if report else (),
            self._capacity.total,
            self._capacity.free,
            largest,
            self._refusal() is None,
            0,
            configuration,
            evacuations,
            members,
            self._clock.elapsed_ms(),
            self._has_probation(),
        )

    @property
    def crash_watch(self):
        """Return the CrashWatch of the worker."""
        return self._crash_watch

    def roster(self, owner):
        """List the attempts of an owner and how its earlier ones ended.

        The list is the first message on a new link, so Begins of the previous link that
        are still held count as lost with it.

        Args:
          owner: An Owner.

        Returns:
          A Roster.
        """
        self._held.drop_owner(owner)
        attempts = tuple(attempt.key for attempt in self._attempts_of(owner))
        return contract.Roster(attempts, owner.ended)

    def runs_for(self, owner):
        """Return whether something may still run or wait here for an owner.

        Args:
          owner: An Owner.
        """
        return bool(self._attempts_of(owner)) or self._held.holds_for(owner)

    def _attempts_of(self, owner):
        return [
            attempt for attempt in self._attempts.values() if attempt.owner is owner
        ]

    def begin(self, owner, begin):
        """Start an attempt, or refuse it.

        Args:
          owner: An Owner.
          begin: A Begin.
        """
        owner.note_begin(begin)
        self._admit(owner, begin)

    def _admit(self, owner, begin):
        """Start an attempt, refuse it, or hold it until an earlier one has ended."""
        if begin.task in self._attempts:
            self._hold(owner, begin)
            return
        refusal = self._refusal() or self._mismatch(begin)
        if refusal is None and owner.is_retiring:
            refusal = contract.Refusal.LEAVING
        if refusal is None and begin.is_suspect and self._has_probation():
            refusal = contract.Refusal.PROBATION
        if refusal is None and not self._capacity.reserve(begin.task, begin.needs):
            refusal = contract.Refusal.ROOM
        if refusal is not None:
            self._refuse(owner, begin, refusal)
            return
        now_ms = self._clock.now_ms()
        attempt = attempt_.new_attempt(owner, begin, now_ms, self._token)
        attempt.report_age_ms = self._report_age_ms(now_ms)
        if attempt.owner_silence_ms > contract.SILENCE_TIMEOUT_MS:
            _log.warning(
                "attempt of a silent owner",
                task=begin.task,
                run=begin.run,
                owner=owner.identity.name,
                silence_ms=int(attempt.owner_silence_ms),
            )
        self._attempts[begin.task] = attempt
        self._announcer.on_room_change()
        self._spawn(self._start(attempt))

    def halt(self, owner, halt):
        """Stop an attempt of an owner, if it may still run.

        Args:
          owner: An Owner.
          halt: A Halt.
        """
        attempt = self._attempts.get(halt.task)
        if attempt is not None and attempt.run == halt.run and attempt.owner is owner:
            self._halt(attempt, "owner asked")
        held = self._held.pop_if(owner, halt.task, halt.run)
        if held is not None:
            self._refuse(owner, held.begin, contract.Refusal.DUPLICATE)

    def drop_owner(self, owner):
        """Stop everything that runs for an owner that is lost.

        Args:
          owner: An Owner.

        Returns:
          A boolean, whether nothing may still run for it.
        """
        self._held.drop_owner(owner)
        attempts = self._attempts_of(owner)
        running = [attempt for attempt in attempts if not attempt.halted]
        if running:
            _log.warning("owner lost", owner=owner.identity.name, stopped=len(running))
        for attempt in running:
            self._halt(attempt, "owner lost")
        return not attempts

    def on_report(self, report):
        """Handle a report of the worker.

        Args:
          report: A Report.
        """
        if report.instance != self._instance:
            if not self._incarnations.may_follow(report.instance):
                _log.info(
                    "report of an earlier incarnation ignored",
                    worker=report.instance.name,
                )
                return
            if self._instance is not None:
                self._note_successor(report)
                return
            self._adopt_instance(report)
        elif report.sequence <= self._report.sequence:
            return
        else:
            self._log_changes(report)
        self._incarnations.note_report()
        self._report = report
        if report.sequence != report_cache.STORED_SEQUENCE:
            self._unconfirmed_until_ms = math.inf
        self._report_age.note(report, self._clock.elapsed_ms())
        self._capacity.resize(report.total)
        self._announcer.on_state_change()

    def _log_changes(self, report):
        """Log how a report differs from the one before of the same incarnation."""
        if report.draining and not self._report.draining:
            _log.info("worker draining", worker=report.instance.name)
        if report.total != self._report.total:
            _log.info(
                "worker resized",
                worker=report.instance.name,
                cpu=report.total.cpu,
                former_cpu=self._report.total.cpu,
                free_cpu=self._capacity.free.cpu,
            )

    def on_left(self, name):
        """Handle the departure of the worker.

        It may run on for a moment, and the message may be of an earlier incarnation. So
        its attempts end when it can't be reached any more, or its lease has expired.

        Args:
          name: A string, the worker's id.
        """
        if self._instance is not None and self._instance.name == name:
            _log.info("worker leaves", worker=name)
            self._incarnations.note_leave()
            self._announcer.on_state_change()

    async def run(self):
        """Poll the worker, and stop attempts that are too late, until cancelled."""
        self._spawn(
            sweep.run(
                self._attempts,
                self._clock.now_ms,
                lambda: self._instance is not None,
                self._halt,
                self._end,
            )
        )
        while True:
            if self._instance is None:
                self._instance_known.clear()
                await self._instance_known.wait()
            await self._poll_once()

    async def close(self):
        """Cancel the background tasks of this runner."""
        await self._background.close()

    def _refusal(self):
        """Return the Refusal of all attempts now; None when attempts may start."""
        if self._instance is None or not self._clean or not self._responsive:
            return contract.Refusal.NO_WORKER
        if self._incarnations.is_doubtful:
            return contract.Refusal.NO_WORKER
        now_ms = self._clock.now_ms()
        if now_ms > self._unconfirmed_until_ms:
            return contract.Refusal.NO_WORKER
        if self._report_age_ms(now_ms) > self._limits.report_valid_ms:
            return contract.Refusal.OUTDATED_REPORT
        if self._foreign:
            return contract.Refusal.NO_WORKER
        if self._lease_limit_ms(self._attempts.values()) < _MIN_LEASE_LIMIT_MS:
            return contract.Refusal.NO_WORKER
        if self._report.draining:
            return contract.Refusal.DRAINING
        if self.leaving:
            return contract.Refusal.LEAVING
        if self._is_evacuated():
            return contract.Refusal.EVACUATED
        return None

    def _has_probation(self):
        """Return whether a suspect has just started, so that no other one may."""
        return any(attempt.is_on_probation for attempt in self._attempts.values())

    def _report_age_ms(self, now_ms):
        """Return the age of the worker's report; infinite if it isn't known.

        Args:
          now_ms: A number, the monotonic clock.
        """
        return self._report_age.age_ms(
            self._clock.elapsed_ms(), self._lease.worker_clock_ms(now_ms)
        )

    def _mismatch(self, begin):
        """Return the Refusal of an attempt that can't run here; None for others."""
        if begin.service != self._report.service:
            return contract.Refusal.OTHER_SERVICE
        if begin.label and begin.label not in self._report.labels:
            return contract.Refusal.OTHER_SERVICE
        return None

    def _hold(self, owner, begin):
        """Stop the earlier attempt of a task, and hold its Begin until that has ended.

        The client has submitted the job again, to another entry.
        """
        self._halt(self._attempts[begin.task], "submitted again")
        until_ms = self._clock.now_ms() + begin.left_ms
        held = held_begins.HeldBegin(owner, begin, until_ms)
        replaced = self._held.put(held)
        if replaced is not None:
            self._refuse(replaced.owner, replaced.begin, contract.Refusal.DUPLICATE)

    def _admit_held(self, task):
        """Start the held attempt of a task whose earlier attempt has ended."""
        held = self._held.pop(task)
        if held is None:
            return
        left_ms = held.left_ms(self._clock.now_ms())
        self._admit(held.owner, dataclasses.replace(held.begin, left_ms=left_ms))

    def _lease_limit_ms(self, attempts):
        """Return the time from now within which the lease must have expired.

        By then the clients of the attempts may have submitted them again elsewhere.
        It is 0 while the worker runs what this agent has not started.
        """
        if self._foreign:
            return 0
        alive_ms = min(
            (attempt.owner_alive_ms for attempt in attempts), default=math.inf
        )
        limit_ms = alive_ms + self._limits.resubmit_ms - _RESUBMIT_MARGIN_MS
        return limit_ms - self._clock.elapsed_ms()

    def _extend_lease(self, now_ms):
        """Return the Extension of the lease for a call that is sent now, or None.

        While nothing runs, the lease isn't extended; it would outlive the owner of the
        next attempt.
        """
        if not self._attempts:
            return None
        limit_ms = self._lease_limit_ms(self._attempts.values())
        return self._lease.extend(now_ms, limit_ms, self._token)

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

    async def _start(self, attempt):
        """Ask the worker to start an attempt."""
        begin = attempt.begin
        if attempt.owner.is_silent(self._clock.elapsed_ms()) or attempt.halted:
            self._drop_unstarted(attempt, contract.Refusal.LEAVING)
            return
        now_ms = self._clock.now_ms()
        if self._lease.remaining_ms(now_ms) > self._lease_limit_ms((attempt,)):
            self._drop_unstarted(attempt, contract.Refusal.OWNER_UNHEARD)
            return
        lease = self._lease
        has_worker = self._instance and not self._incarnations.has_left
        extension = self._extend_lease(now_ms) if has_worker else None
        if extension is None:
            self._drop_unstarted(attempt, contract.Refusal.NO_WORKER)
            return
        attempt.token = self._token
        target = worker.Target(self._instance, self._token)
        start = worker.Start(begin.task, begin.run, begin.spec, extension.until_ms)
        reply = await self._worker_client.start(target, start)
        if reply.answer is not worker.Answer.UNKNOWN:
            lease.close(extension)
        if self._attempts.get(attempt.task) is not attempt:
            return
        if target.instance == self._instance:
            self._lease.note_clock(reply.clock_ms, self._clock.now_ms())
        self._handle_reply(attempt, reply.answer)

    def _handle_reply(self, attempt, answer):
        """Handle the worker's answer to a start."""
        if answer is worker.Answer.OK:
            attempt.confirm(self._clock.now_ms())
            self._metrics.count(metrics.Counter.STARTED)
        elif answer is worker.Answer.UNKNOWN:
            attempt.phase = attempt_.Phase.UNRESOLVED
            _log.warning(
                "start got no answer",
                task=attempt.task,
                run=attempt.run,
                token=self._token,
            )
            self._raise_token(attempt.token + 1)
        else:
            if answer is worker.Answer.FENCED:
                self._pass_fence(attempt.token)
            refusal = _REFUSALS.get(answer, contract.Refusal.WORKER_REFUSED)
            self._drop_unstarted(attempt, refusal)

    def _drop_unstarted(self, attempt, refusal):
        """Release and refuse an attempt that certainly never starts."""
        self._release(attempt)
        self._refuse(attempt.owner, attempt.begin, refusal)

    def _end(self, attempt, how):
        """Release an attempt that has ended, and report the end to its owner."""
        self._release(attempt)
        now_ms = self._clock.now_ms()
        ran_ms = now_ms - attempt.started_ms
        halted_for_ms = now_ms - attempt.halted_ms if attempt.halted else 0
        self._metrics.observe_latency(attempt.begin.service, str(how), ran_ms)
        _log.info(
            "attempt ended",
            task=attempt.task,
            run=attempt.run,
            how=how,
            ran_ms=int(ran_ms),
            halted_for_ms=int(halted_for_ms),
            stop_calls=attempt.stop_calls,
            token=attempt.token,
            report_age_ms=int(attempt.report_age_ms),
            owner=attempt.owner.identity.name,
        )
        first = self._announcer.offer(attempt.owner)
        keeps_room = first is attempt.owner
        attempt.owner.send(
            contract.Ended(
                attempt.task,
                attempt.run,
                str(how),
                ran_ms,
                keeps_room,
                how in contract.LOSSES and not attempt.has_survived,
            )
        )

    def _release(self, attempt):
        del self._attempts[attempt.task]
        self._capacity.release(attempt.task)
        self._announcer.on_room_change()
        self._admit_held(attempt.task)

    def _halt(self, attempt, cause):
        if attempt.halted:
            return
        attempt.halt(self._clock.now_ms())
        _log.info(
            "attempt halted",
            task=attempt.task,
            run=attempt.run,
            cause=cause,
            ran_ms=int(attempt.halted_ms - attempt.started_ms),
        )
        self._spawn(
            stops.repeat(
                lambda: self._stop_attempt(attempt),
                lambda: self._attempts.get(attempt.task) is attempt,
                self._background,
            )
        )

    async def _stop_attempt(self, attempt):
        """Ask the worker once to stop an attempt, and return its Answer."""
        attempt.stop_calls += 1
        return await self._stop(attempt.key)

    async def _stop(self, key):
        """Ask the worker once to stop an attempt, and return its Answer.

        Args:
          key: A pair of a TaskName and a run.
        """
        if self._instance is None:
            return worker.Answer.UNREACHABLE
        target = worker.Target(self._instance, self._token)
        reply = await self._worker_client.stop(target, *key)
        if reply.answer is worker.Answer.FENCED:
            self._pass_fence(target.token)
        return reply.answer

    async def _poll_once(self):
        """Poll the worker, renew its lease, and handle the reply."""
        instance = self._instance
        sent_ms = self._clock.now_ms()
        lease = self._lease
        # After a poll without an answer, the lease is not extended before the next one.
        is_relied_on = self._clean and self._responsive
        extension = self._extend_lease(sent_ms) if is_relied_on else None
        target = worker.Target(instance, self._token)
        reply = await self._worker_client.poll(
            target,
            self._cursor,
            extension.until_ms if extension is not None else None,
            _POLL_WAIT_MS if is_relied_on else 0,
        )
        if reply.answer is not worker.Answer.UNKNOWN:
            lease.close(extension)
        if instance != self._instance:
            return
        if reply.started_ms and instance.started_ms not in (0, reply.started_ms):
            # The worker has restarted under the same name.
            self._incarnations.note_end()
            self._replace_instance("another incarnation answers")
            return
        self._lease.note_clock(reply.clock_ms, self._clock.now_ms())
        if reply.answer is worker.Answer.UNKNOWN:
            # Carried out late, it would extend the lease again; the fence prevents that
            # from the next answer on.
            self._raise_token(target.token + 1)
        if reply.answer is worker.Answer.OK:
            self._drop_successor(sent_ms)
            self._apply(reply, sent_ms, target.token)
            if not self._clean:
                await asyncio.sleep(clock.seconds(_POLL_RETRY_MS))
            return
        if reply.answer is worker.Answer.FENCED:
            self._pass_fence(target.token)
        elif reply.answer is worker.Answer.OTHER_INSTANCE:
            self._incarnations.note_end()
            self._replace_instance("another incarnation answers")
            return
        elif reply.answer is worker.Answer.UNREACHABLE and self._incarnations.has_left:
            self._replace_instance("worker has left")
            return
        self._note_silent(reply.answer)
        await asyncio.sleep(clock.seconds(_POLL_RETRY_MS))

    def _apply(self, reply, sent_ms, token):
        """Reconcile the attempts with what the worker lists."""
        self._lease.note_answer(self._clock.now_ms(), token)
        self._crash_watch.note_answer(self._instance)
        self._unanswered_polls = 0
        for finished in reply.finished:
            self._handle_finished(finished)
        if reply.is_partial:
            return
        running = set(reply.running)
        for attempt in list(self._attempts.values()):
            if attempt.key in running:
                self._handle_running(attempt)
            else:
                self._handle_absent(attempt, sent_ms, token)
        self._handle_foreign(running)
        # The lease is not renewed before the attempts of an earlier incarnation of this
        # agent have ended, so that they end by themselves even if no stop arrives.
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
        attempt = self._attempts.get(finished.task)
        if attempt is not None and attempt.run == finished.run:
            self._end(attempt, finished.how)

    def _handle_running(self, attempt):
        attempt.is_listed = True
        age_ms = self._clock.now_ms() - attempt.started_ms
        if not attempt.has_survived and age_ms >= crashes.PROBATION_MS:
            self._end_probation(attempt)
        if attempt.phase is attempt_.Phase.UNRESOLVED:
            attempt.confirm(self._clock.now_ms())

    def _end_probation(self, attempt):
        was_on_probation = attempt.is_on_probation
        attempt.has_survived = True
        if was_on_probation:
            self._announcer.on_state_change()

    def _handle_absent(self, attempt, sent_ms, token):
        """Handle an attempt that the worker does not list.

        An unresolved attempt has never started if the worker has since answered under
        a higher token. A running one was lost if the worker confirmed it before
        the poll was sent.
        """
        if attempt.phase is attempt_.Phase.UNRESOLVED:
            if attempt.token < token:
                self._drop_unstarted(attempt, contract.Refusal.LOST)
        elif attempt.phase is attempt_.Phase.RUNNING and attempt.confirmed_ms < sent_ms:
            self._end(attempt, contract.End.LOST)

    def _handle_foreign(self, running):
        ours = {attempt.key for attempt in self._attempts.values()}
        if self._foreign.update(running - ours):
            self._announcer.on_state_change()

    def _note_silent(self, answer):
        """Stop relying on a worker that does not answer."""
        if answer is worker.Answer.UNKNOWN:
            self._unanswered_polls += 1
        if self._responsive:
            self._responsive = False
            _log.warning("worker silent", worker=self._instance.name, answer=answer)
            self._announcer.on_state_change()
        now_ms = self._clock.now_ms()
        if not self._lease.has_lapsed(now_ms):
            return
        if self._attempts:
            self._log_lapse(now_ms)
        for attempt in list(self._attempts.values()):
            if attempt.phase is attempt_.Phase.RUNNING:
                self._crash_watch.add(self._instance, attempt, self._lease.answered_ms)
                self._end(attempt, contract.End.LAPSED)
        if self._incarnations.is_doubtful:
            self._replace_instance("worker silent")

    def _log_lapse(self, now_ms):
        """Log what the conclusion rests on that the worker lease has expired."""
        answer_age_ms, extension_age_ms = self._lease.ages_ms(now_ms)
        _log.warning(
            "worker lease expired",
            worker=self._instance.name,
            attempts=len(self._attempts),
            answer_age_ms=int(answer_age_ms),
            extension_age_ms=int(extension_age_ms),
            unanswered_polls=self._unanswered_polls,
            open_extensions=self._lease.open_extensions,
            token=self._token,
        )

    def _note_successor(self, report):
        """Ask the current incarnation whether another one has replaced it."""
        if self._incarnations.note_successor(report, self._clock.now_ms()):
            _log.info("another incarnation reports", worker=report.instance.name)
            self._announcer.on_state_change()

    def _drop_successor(self, sent_ms):
        """Ignore the reported successor of an incarnation that still answers."""
        ignored = self._incarnations.note_answer(sent_ms)
        if ignored is not None:
            _log.info("report ignored", worker=ignored.instance.name)
            self._announcer.on_state_change()

    def _replace_instance(self, cause):
        """Give up the current incarnation, and adopt its successor if there is one."""
        self._lose_instance(cause)
        successor = self._incarnations.take_successor()
        if successor is not None:
            self.on_report(successor)
        self._announcer.on_state_change()

    def _adopt_instance(self, report):
        _log.info(
            "worker reports",
            worker=report.instance.name,
            service=report.service,
            cpu=report.total.cpu,
        )
        self._drop_starts_if_renamed(self._incarnations.last, report.instance)
        self._incarnations.adopt(report.instance)
        self._lease = worker_lease.new_worker_lease(
            self._limits.lease_ms, self._clock.now_ms()
        )
        self._cursor = 0
        self._clean = False
        self._responsive = False
        self._unconfirmed_until_ms = self._clock.now_ms() + _UNCONFIRMED_LIMIT_MS
        self._raise_token(self._token + 1)
        self._instance_known.set()

    def _lose_instance(self, cause):
        """End the attempts that ran in an incarnation of the worker that is gone.

        An attempt that this incarnation has not listed may have been started by the
        next one, if that has the same name. It stays unresolved until the next
        incarnation has listed its attempts.
        """
        if self._instance is None:
            return
        _log.warning("worker lost", worker=self._instance.name, cause=cause)
        self._crash_watch.note_lost(
            self._instance,
            self._attempts.values(),
            self._lease.answered_ms,
            self._incarnations.has_left or self._report.draining,
            self._incarnations.has_ended,
        )
        self._incarnations.lose()
        self._foreign.clear()
        for attempt in list(self._attempts.values()):
            if attempt.is_listed:
                self._end(attempt, contract.End.LOST)
            elif attempt.phase is attempt_.Phase.RUNNING:
                attempt.phase = attempt_.Phase.UNRESOLVED

    def _drop_starts_if_renamed(self, previous, instance):
        """Drop the remaining attempts if the new worker has another name.

        A worker refuses starts that are meant for a worker of another name.
        """
        if previous is None or previous.name == instance.name:
            return
        for attempt in list(self._attempts.values()):
            self._drop_unstarted(attempt, contract.Refusal.LOST)

    def _raise_token(self, token):
        self._token = max(self._token, token)

    def _pass_fence(self, token):
        """Choose a token above one that the worker has refused."""
        if token == self._token:
            self._raise_token(token + _TOKEN_INCREMENT)
            self._token_floor = self._token
            _log.warning("fencing token raised", token=self._token)

    def _spawn(self, coroutine):
        return self._background.spawn(coroutine)
