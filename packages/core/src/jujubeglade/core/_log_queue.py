"""Log lines as JSON objects, in a bounded queue that never blocks the process.

Lines are queued and written when the stream accepts them without blocking. When the
queue is full, or one event is too frequent, lines are dropped and counted: the next
line that is queued has the number of those dropped before it.
"""

import asyncio
import collections
import contextlib
import json
import os
import select

import logbook

#: Lines that wait for the stream; a line has about 250 bytes.
_MAX_QUEUED_LINES = 4000
#: Lines of one event per second; more are dropped and counted.
_MAX_EVENT_LINES_PER_SECOND = 300
_FLUSH_INTERVAL_MS = 100
#: A writable pipe accepts at least this many bytes without blocking.
_PIPE_WRITE_BYTES = 4096
_MICROSECONDS_PER_MILLISECOND = 1000


class QueueHandler(logbook.Handler):
    """Writes logbook records as JSON lines."""

    def __init__(self, stream, head):
        """Make a handler with an empty queue.

        Args:
          stream: A text stream.
          head: A dict of the fields that every line has.
        """
        super().__init__()
        self._stream = stream
        self._head = head
        self._lines = collections.deque()
        self._dropped = 0
        self._second = None
        # Lines of each event in the current second.
        self._counts = collections.Counter()
        self._is_flush_due = False

    @property
    def dropped(self):
        """Return how many lines were dropped after the last queued line."""
        return self._dropped

    def emit(self, record):
        """Queue a record; see logbook.Handler."""
        if self._is_too_frequent(record) or len(self._lines) >= _MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.append(self._line(record))
        self._flush_soon()

    def flush(self):
        """Write the lines that the stream accepts without blocking."""
        self._is_flush_due = False
        while self._lines and self._is_writable():
            self._write_some()
        if self._lines:
            self._flush_later()

    def close(self):
        """Write the queued lines, when the process ends."""
        self.flush()

    def _is_too_frequent(self, record):
        second = record.time.replace(microsecond=0)
        if second != self._second:
            self._second = second
            self._counts.clear()
        self._counts[record.msg] += 1
        return self._counts[record.msg] > _MAX_EVENT_LINES_PER_SECOND

    def _line(self, record):
        when = record.time
        milliseconds = when.microsecond // _MICROSECONDS_PER_MILLISECOND
        fields = {
            "time": f"{when:%Y-%m-%dT%H:%M:%S}.{milliseconds:03d}Z",
            "level": record.level_name.lower(),
            **self._head,
            "logger": record.channel.rpartition(".")[2],
            "event": record.msg,
            **record.kwargs,
        }
        if self._dropped:
            fields["dropped"] = self._dropped
            self._dropped = 0
        if record.exc_info:
            fields["traceback"] = record.formatted_exception
        return json.dumps(fields, default=str, separators=(",", ":"))

    def _flush_soon(self):
        if self._is_flush_due:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without a running event loop, writing at once delays nothing else.
            self.flush()
            return
        self._is_flush_due = True
        loop.call_later(_FLUSH_INTERVAL_MS / 1000, self.flush)

    def _flush_later(self):
        """Flush again later; without an event loop, the next line does."""
        with contextlib.suppress(RuntimeError):
            asyncio.get_running_loop().call_later(_FLUSH_INTERVAL_MS / 1000, self.flush)
            self._is_flush_due = True

    def _is_writable(self):
        try:
            return bool(select.select((), (self._stream,), (), 0)[1])
        except (OSError, ValueError, TypeError):
            # A stream without a file descriptor, as in tests, never blocks.
            return True

    def _write_some(self):
        """Write as many lines as fit in one write that does not block."""
        size = 0
        batch = []
        while self._lines and (not batch or size < _PIPE_WRITE_BYTES):
            line = self._lines.popleft() + "\n"
            size += len(line)
            if batch and size > _PIPE_WRITE_BYTES:
                self._lines.appendleft(line[:-1])
                break
            batch.append(line)
        self._write("".join(batch))

    def _write(self, text):
        try:
            descriptor = self._stream.fileno()
        except (OSError, ValueError, AttributeError):
            self._stream.write(text)
            return
        try:
            os.write(descriptor, text.encode())
        except OSError:
            # The reader is gone; the process goes on without its log.
            self._dropped += text.count("\n")
