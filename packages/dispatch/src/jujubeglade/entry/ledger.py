"""Reads and changes the configuration in the store for one entry.

A ledger reads the store every `_POLL_INTERVAL_MS` and also keeps one watch open. The
watch delivers a change at once; while it is broken, the next read finds the change.
Commands are written by compare-and-swap. The answer to a write may be lost after the
write took effect, so each attempt first looks for the command's id in the document:

| result of the attempt             | what `submit` does                              |
|-----------------------------------|-------------------------------------------------|
| the document has the command's id | returns the recorded outcome                    |
| the swap succeeded                | returns the new outcome                         |
| another write came first          | reads and decides again                         |
| not applied, or unknown           | reads and decides again, until the deadline     |
| the deadline has passed           | returns a problem: the outcome is `unknown`, or |
|                                   | nothing was recorded                            |
"""

import asyncio
import dataclasses

import result

from jujubeglade.core import clock, configuration, log, problem, store

KEY = "jujubeglade/configuration"
_POLL_INTERVAL_MS = 500
_SUBMIT_TIMEOUT_MS = 2000
_RETRY_INTERVAL_MS = 25
_WATCH_RETRY_INTERVAL_MS = 500

_log = log.get(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The key and the times of a ledger.

    Attributes:
      key: A string, the key of the document.
      poll_interval_ms: An integer, from the start of one read to the start of the next.
      submit_timeout_ms: An integer, how long new attempts at a command are started; the
        last attempt is bounded by the store's own timeouts.
      retry_interval_ms: An integer, the pause between two attempts.
    """

    key: str = KEY
    poll_interval_ms: int = _POLL_INTERVAL_MS
    submit_timeout_ms: int = _SUBMIT_TIMEOUT_MS
    retry_interval_ms: int = _RETRY_INTERVAL_MS


class Ledger:
    """Reads the configuration from the store and submits changes to it."""

    __slots__ = (
        "_clock",
        "_last_parsed",
        "_last_poll_ok",
        "_latest",
        "_lock",
        "_read_callbacks",
        "_settings",
        "_store",
    )

    def __init__(self, platform_store, latest, entry_clock, settings=None):
        """Create a ledger; `run` keeps it up to date.

        Args:
          platform_store: A Store.
          latest: A LatestDocument, to which documents are offered.
          entry_clock: A Clock.
          settings: A Settings record, or None for the defaults.
        """
        self._store = platform_store
        self._latest = latest
        self._clock = entry_clock
        self._settings = settings or Settings()
        self._read_callbacks = []
        # Whether the last poll succeeded; None before the first one.
        self._last_poll_ok = None
        self._lock = asyncio.Lock()
        # The bytes of the last read and their document: most reads return the same.
        self._last_parsed = (b"", configuration.Document())

    @property
    def document(self):
        """The Document of the highest revision received so far."""
        return self._latest.document

    def subscribe_reads(self, callback):
        """Register a callback for reads of the store that succeed.

        Args:
          callback: A function of the time, in ms of the clock, at which the read
            started; it is called after the document was offered.
        """
        self._read_callbacks.append(callback)

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
        known_revision = self._latest.revision
        answer = await self._store.get(self._settings.key)
        if answer.is_err():
            return answer
        stored = answer.ok_value
        parsed = self._parse(stored.value, known_revision)
        if parsed.is_err():
            return parsed
        self._latest.offer(parsed.ok_value)
        for callback in self._read_callbacks:
            callback(begin_ms)
        return result.Ok((parsed.ok_value, stored.mod_revision))

    def _parse(self, value, known_revision):
        """Parse a document, unless it is the one that was read last."""
        last_value, last_document = self._last_parsed
        if value == last_value and last_document.revision >= known_revision:
            return result.Ok(last_document)
        parsed = configuration.parse(value, known_revision)
        if parsed.is_ok():
            self._last_parsed = (value, parsed.ok_value)
        return parsed

    async def submit(self, change, command):
        """Record a command in the store; repeating it is safe.

        A command without an expected revision expects the one that its first attempt
        read, so that it can't undo a change made after that read.

        Args:
          change: A change.
          command: A Command.

        Returns:
          A Result of an Outcome or of a Problem: of kind `conflict`, which names the
          command that came first, or of kind `store`, whose outcome says whether the
          change may have been recorded.
        """
        end_ms = self._clock.now_ms() + self._settings.submit_timeout_ms
        # The deadline includes the wait for earlier commands, so that commands don't
        # queue up during an outage.
        async with self._lock:
            submission = _Submission(self, change, command)
            return await submission.run(self._clock, end_ms, self._settings)

    async def swap(self, document, mod_revision):
        """Write a document if the key still has the given mod revision.

        Args:
          document: A Document.
          mod_revision: An integer, the mod revision of the key at the last read.

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
        """Read the store periodically."""
        while True:
            begin_ms = self._clock.now_ms()
            answer = await self.refresh()
            self._log_availability(answer)
            left_ms = begin_ms + self._settings.poll_interval_ms - self._clock.now_ms()
            await asyncio.sleep(clock.seconds(max(0, left_ms)))

    def _log_availability(self, answer):
        """Log once when the store stops answering, and once when it answers again."""
        if answer.is_ok() == self._last_poll_ok:
            return
        self._last_poll_ok = answer.is_ok()
        if answer.is_ok():
            _log.info("store answers")
        else:
            _log.error("store does not answer", problem=str(answer.err_value))

    async def _watch(self):
        """Watch the key, and start a new watch whenever one ends."""
        while True:
            async for answer in self._store.watch(self._settings.key):
                if answer.is_ok():
                    self._offer_watched(answer.ok_value)
            await asyncio.sleep(clock.seconds(_WATCH_RETRY_INTERVAL_MS))

    def _offer_watched(self, event):
        """Offer the document of a watch event; ignore deletions and other keys."""
        if event.deleted or event.entry.key != self._settings.key:
            return
        parsed = configuration.parse(event.entry.value)
        if parsed.is_ok():
            self._latest.offer(parsed.ok_value)
        else:
            _log.error("configuration not taken", problem=str(parsed.err_value))


class _Submission:
    """The attempts to record one command."""

    __slots__ = (
        "_change",
        "_command",
        "_last_problem",
        "_ledger",
        "_unconfirmed_revision",
    )

    def __init__(self, ledger, change, command):
        self._ledger = ledger
        self._change = change
        self._command = command
        self._last_problem = store.not_applied(
            "no time was left after the commands before it"
        )
        # The mod revision expected by a write whose answer was lost; None if there is
        # no such write, or if it can no longer take effect.
        self._unconfirmed_revision = None

    async def run(self, entry_clock, end_ms, settings):
        """Make attempts until there is an answer or the deadline has passed.

        Args:
          entry_clock: A Clock.
          end_ms: A number, the time after which no attempt starts.
          settings: A Settings record.

        Returns:
          A Result of an Outcome or of a Problem.
        """
        while entry_clock.now_ms() < end_ms:
            answer = await self._attempt()
            if answer is not None:
                return answer
            await asyncio.sleep(clock.seconds(settings.retry_interval_ms))
        return result.Err(self._timeout_problem(settings))

    async def _attempt(self):
        """Read, decide and swap once.

        Returns:
          A Result of an Outcome or of a Problem; None if another attempt is needed.
        """
        read = await self._ledger.refresh()
        if read.is_err():
            self._last_problem = read.err_value
            return None
        document, mod_revision = read.ok_value
        recorded = configuration.find_outcome(document, self._command)
        if recorded.is_err():
            return recorded
        if recorded.ok_value is not None:
            return _answer(recorded.ok_value)
        self._clear_outdated_write(mod_revision)
        self._set_expected_revision(document)
        decided = self._decide(document)
        if decided.is_err():
            return decided
        return await self._swap(decided.ok_value, mod_revision)

    def _clear_outdated_write(self, mod_revision):
        """Drop an unconfirmed write that can't take effect, as the key has changed."""
        if mod_revision != self._unconfirmed_revision:
            self._unconfirmed_revision = None

    def _set_expected_revision(self, document):
        """Expect the revision of the first document read, unless one was given."""
        if self._command.expected_revision is None:
            self._command = dataclasses.replace(
                self._command, expected_revision=document.revision
            )

    def _decide(self, document):
        """Apply the command, or record in the document that another came first."""
        decided = configuration.apply(document, self._change, self._command)
        conflicts = decided.is_err() and decided.err_value.kind is problem.Kind.CONFLICT
        if conflicts:
            return configuration.record_loss(document, self._change, self._command)
        return decided

    async def _swap(self, document, mod_revision):
        """Write a document with the command's outcome in it."""
        swapped = await self._ledger.swap(document, mod_revision)
        if swapped.is_ok():
            return _answer(document.outcomes[-1])
        self._last_problem = swapped.err_value
        if store.is_unknown(self._last_problem):
            self._unconfirmed_revision = mod_revision
        if self._last_problem.kind is problem.Kind.TOO_LARGE:
            return swapped
        return None

    def _timeout_problem(self, settings):
        """Return the problem for a command that has no answer at its deadline."""
        is_unknown = self._unconfirmed_revision is not None
        state = "unknown" if is_unknown else "not recorded by this request"
        outcome = problem.Outcome
        return problem.Problem(
            problem.Kind.STORE,
            f"{state}: {self._last_problem}",
            "ask again with the same command id",
            place=f"command {self._command.command_id}",
            outcome=outcome.UNKNOWN if is_unknown else outcome.REQUEST_NOT_RUN,
            retry_after_ms=settings.poll_interval_ms,
        )


def _answer(outcome):
    """Return the answer for a recorded outcome; a repetition gets the same one."""
    if outcome.status is configuration.Status.LOST:
        return result.Err(configuration.conflict(outcome))
    return result.Ok(outcome)
