"""The configuration in the store, as an entry reads and changes it.

A ledger polls the store once a second and keeps one watch, so that a change is seen
at once and a dead watch costs a second at most. Commands are written by
compare-and-swap. An answer of the store may be lost after its effect, so a
command is looked up by its id before each attempt:

| what the store answers      | what `submit` does                              |
|-----------------------------|-------------------------------------------------|
| own id among the outcomes   | answers that outcome                            |
| swapped                     | answers the new outcome                         |
| somebody else came first    | reads and decides again                         |
| not applied, or unknown     | reads and decides again, until the deadline     |
| nothing more until deadline | says `unknown`, or that nothing was recorded    |
"""

import asyncio
import dataclasses

import result

from jujubeglade.core import clock, configuration, log, problem, store

KEY = "jujubeglade/configuration"
_POLL_MS = 500
_SUBMIT_MS = 2000
_RETRY_MS = 25
_WATCH_RETRY_MS = 500

_log = log.get(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """How a ledger uses the store.

    Attributes:
      key: A string, where the document lies.
      poll_interval_ms: An integer, from the start of one read to the start of the next.
      submit_timeout_ms: An integer, how long new attempts at a command are started; the
        last attempt is bounded by the store's own timeouts.
      retry_interval_ms: An integer, the pause between two attempts.
    """

    key: str = KEY
    poll_interval_ms: int = _POLL_MS
    submit_timeout_ms: int = _SUBMIT_MS
    retry_interval_ms: int = _RETRY_MS


class Ledger:
    """The store's configuration, seen by one entry."""

    __slots__ = (
        "_clock",
        "_is_read",
        "_latest",
        "_lock",
        "_on_read",
        "_parsed",
        "_settings",
        "_store",
    )

    def __init__(self, a_store, latest, a_clock, settings=None):
        """Prepare a ledger; `run` keeps it up to date.

        Args:
          a_store: A Store.
          latest: A LatestDocument, to which documents are offered.
          a_clock: A Clock.
          settings: A Settings record or None for the usual one.
        """
        self._store = a_store
        self._latest = latest
        self._clock = a_clock
        self._settings = settings or Settings()
        self._on_read = []
        # Whether the last poll was answered; None before the first one.
        self._is_read = None
        self._lock = asyncio.Lock()
        # The bytes read last and their document: most reads bring the same again.
        self._parsed = (b"", configuration.Document())

    @property
    def document(self):
        """The highest document known, a Document."""
        return self._latest.document

    def subscribe_reads(self, callback):
        """Ask to be told of each read of the store that succeeded.

        Args:
          callback: A function of the time, in ms of the clock, at which the read
            began; the document read has been offered before.
        """
        self._on_read.append(callback)

    async def run(self):
        """Poll and watch until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._poll())
            tasks.create_task(self._watch())

    async def refresh(self):
        """Read the store once.

        Returns:
          A Result of a pair of the Document and its mod revision, or of a Problem.
        """
        begin_ms = self._clock.now_ms()
        held_revision = self._latest.revision
        answer = await self._store.get(self._settings.key)
        if answer.is_err():
            return answer
        entry = answer.ok_value
        parsed = self._parse(entry.value, held_revision)
        if parsed.is_err():
            return parsed
        self._latest.offer(parsed.ok_value)
        for callback in self._on_read:
            callback(begin_ms)
        return result.Ok((parsed.ok_value, entry.mod_revision))

    def _parse(self, value, held_revision):
        """Read a document, or find that it is the one read last."""
        last_value, last_document = self._parsed
        if value == last_value and last_document.revision >= held_revision:
            return result.Ok(last_document)
        parsed = configuration.parse(value, held_revision)
        if parsed.is_ok():
            self._parsed = (value, parsed.ok_value)
        return parsed

    async def submit(self, change, command):
        """Bring a command into the store; repeating it is safe.

        Without an expected revision a command is decided against the document that
        its first attempt read, so that it can't undo what it has not seen.

        Args:
          change: A change.
          command: A Command.

        Returns:
          A Result of an Outcome or of a Problem: a `conflict` that names the winner,
          or a `store` problem whose outcome says whether the change may be recorded.
        """
        end_ms = self._clock.now_ms() + self._settings.submit_timeout_ms
        # The wait for earlier commands counts, so that an outage queues nobody up.
        async with self._lock:
            submission = _Submission(self, change, command)
            return await submission.run(self._clock, end_ms, self._settings)

    async def swap(self, document, mod_revision):
        """Write a document if the store's is still at the revision given.

        Args:
          document: A Document.
          mod_revision: An integer.

        Returns:
          A Result of an integer, the new mod revision, or of a Problem.
        """
        value = configuration.dump(document)
        key = self._settings.key
        answer = await self._store.compare_and_swap(key, value, mod_revision)
        if answer.is_ok():
            self._latest.offer(document)
        return answer

    async def _poll(self):
        """Read the store once in each period."""
        while True:
            begin_ms = self._clock.now_ms()
            answer = await self.refresh()
            self._log_reading(answer)
            left_ms = begin_ms + self._settings.poll_interval_ms - self._clock.now_ms()
            await asyncio.sleep(clock.seconds(max(0, left_ms)))

    def _log_reading(self, answer):
        """Log once when the store goes silent, and once when it is back."""
        if answer.is_ok() == self._is_read:
            return
        self._is_read = answer.is_ok()
        if answer.is_ok():
            _log.info("store answers")
        else:
            _log.error("store does not answer", problem=str(answer.err_value))

    async def _watch(self):
        """Follow the key, and start again whenever the watch ends."""
        while True:
            async for answer in self._store.watch(self._settings.key):
                if answer.is_ok():
                    self._take(answer.ok_value)
            await asyncio.sleep(clock.seconds(_WATCH_RETRY_MS))

    def _take(self, event):
        """Offer the document of one event; a deletion or an older one is ignored."""
        if event.deleted or event.entry.key != self._settings.key:
            return
        parsed = configuration.parse(event.entry.value)
        if parsed.is_ok():
            self._latest.offer(parsed.ok_value)
        else:
            _log.error("configuration not taken", problem=str(parsed.err_value))


class _Submission:
    """The attempts of one command."""

    __slots__ = ("_change", "_command", "_ledger", "_trouble", "_unsettled")

    def __init__(self, ledger, change, command):
        self._ledger = ledger
        self._change = change
        self._command = command
        self._trouble = store.not_applied("earlier commands took all the time")
        # The mod revision compared by a write whose answer was lost.
        self._unsettled = None

    async def run(self, a_clock, end_ms, settings):
        """Attempt until there is an answer or the time is over.

        Args:
          a_clock: A Clock.
          end_ms: A number, after which no attempt begins.
          settings: A Settings record.

        Returns:
          A Result of an Outcome or of a Problem.
        """
        while a_clock.now_ms() < end_ms:
            answer = await self._attempt()
            if answer is not None:
                return answer
            await asyncio.sleep(clock.seconds(settings.retry_interval_ms))
        return result.Err(self._timeout_problem(settings))

    async def _attempt(self):
        """Read, decide and swap once.

        Returns:
          A Result of an Outcome or of a Problem; None to attempt again.
        """
        read = await self._ledger.refresh()
        if read.is_err():
            self._trouble = read.err_value
            return None
        document, mod_revision = read.ok_value
        found = configuration.find_outcome(document, self._command)
        if found.is_err():
            return found
        if found.ok_value is not None:
            return _answer(found.ok_value)
        self._settle(mod_revision)
        self._pin(document)
        decided = self._decide(document)
        if decided.is_err():
            return decided
        return await self._swap(decided.ok_value, mod_revision)

    def _settle(self, mod_revision):
        """Forget a lost write that can no longer take effect."""
        if mod_revision != self._unsettled:
            self._unsettled = None

    def _pin(self, document):
        """Hold the first document read against later ones."""
        if self._command.expected_revision is None:
            self._command = dataclasses.replace(
                self._command, expected_revision=document.revision
            )

    def _decide(self, document):
        """Apply the command, or record that it lost."""
        decided = configuration.apply(document, self._change, self._command)
        lost = decided.is_err() and decided.err_value.kind is problem.Kind.CONFLICT
        if lost:
            return configuration.record_loss(document, self._change, self._command)
        return decided

    async def _swap(self, document, mod_revision):
        """Write a document with the command's outcome in it."""
        swapped = await self._ledger.swap(document, mod_revision)
        if swapped.is_ok():
            return _answer(document.outcomes[-1])
        self._trouble = swapped.err_value
        if store.is_unknown(self._trouble):
            self._unsettled = mod_revision
        if self._trouble.kind is problem.Kind.TOO_LARGE:
            return swapped
        return None

    def _timeout_problem(self, settings):
        """Say what is known when the time is over."""
        lost = self._unsettled is not None
        state = "unknown" if lost else "not recorded by this request"
        outcome = problem.Outcome
        return problem.Problem(
            problem.Kind.STORE,
            f"{state}: {self._trouble}",
            "ask again with the same command id",
            place=f"command {self._command.command_id}",
            outcome=outcome.UNKNOWN if lost else outcome.REQUEST_NOT_RUN,
            retry_after_ms=settings.poll_interval_ms,
        )


def _answer(outcome):
    """Answer a recorded outcome, now or at a repetition alike."""
    if outcome.status is configuration.Status.LOST:
        return result.Err(configuration.conflict(outcome))
    return result.Ok(outcome)
