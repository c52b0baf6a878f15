"""The metrics of one process, for `/metrics`.

Counts are kept in plain dictionaries and passed to aioprometheus only when the
metrics are rendered, because a counter changes many times between two reads. The
number of values of each label is bounded: further values count as `other`.

    process_metrics = metrics.open_metrics()
    process_metrics.count(metrics.Counter.REFUSED, problem.kind)
    process_metrics.observe_latency("acme", "urgent", 12.5)
    process_metrics.set(metrics.Gauge.QUEUE, 3)
    body, content_type = process_metrics.render()
"""

import enum
import re

import aioprometheus
from aioprometheus import histogram
from aioprometheus.formats import text

LATENCY_BUCKETS_MS = (
    *(1, 2, 5, 10, 20, 50, 100, 200, 500),
    *(1000, 2000, 5000, 10000, 30000, float("inf")),
)
OTHER = "other"
_MAX_TENANTS = 250
_MAX_LABEL_VALUES = 64
# aioprometheus doesn't escape label values; these characters would break the format.
_UNSAFE_CHARACTERS = re.compile(r'["\\\n\r{}]')


class Counter(enum.StrEnum):
    """The counters; `_COUNTERS` has their labels and help texts."""

    ACCEPTED = "jobs_accepted"
    REFUSED = "requests_refused"
    ANSWERED = "jobs_answered"
    STARTED = "tasks_started"
    REJECTED = "tasks_rejected"
    PLACED = "tasks_placed"
    RETRIED = "tasks_retried"
    HEDGED = "tasks_hedged"
    CRASHED = "workers_crashed"
    SHED = "jobs_shed"
    MESSAGES = "stream_messages"
    SENT = "stream_messages_sent"
    OFFERED = "room_offers"
    DECLINED = "room_declines"
    CLOSED = "connections_closed"


class Gauge(enum.StrEnum):
    """The gauges; `_GAUGES` has their help texts."""

    QUEUE = "queue_length"
    RUNNING = "tasks_running"
    UNPLACED = "tasks_unplaced"
    PERMIT = "permit_left_ms"
    BACKLOG = "journal_backlog"
    LOST = "journal_records_lost"
    WORKERS = "workers"
    REVISION = "configuration_revision"
    REQUESTS = "requests_in_progress"
    CONNECTIONS = "connections_open"
    UNFINISHED = "unfinished_request_bytes"
    ACCEPTED = "accepted_request_bytes"


_PREFIX = "jujubeglade_"
_COUNTERS = {
    Counter.ACCEPTED: (("tenant",), "Submissions taken, resubmissions among them."),
    Counter.REFUSED: (("kind",), "Requests refused, by kind of problem."),
    Counter.ANSWERED: (("state",), "Jobs answered, by state."),
    Counter.STARTED: ((), "Task attempts sent to the upstream."),
    Counter.REJECTED: (("kind",), "Task attempts that will never start here."),
    Counter.PLACED: (
        ("rack",),
        "Task attempts sent to a worker inside or outside of the rack of their data.",
    ),
    Counter.RETRIED: ((), "Task attempts after a failed one."),
    Counter.HEDGED: ((), "Task attempts beside a slow one."),
    Counter.CRASHED: ((), "Crashes of the worker while it ran attempts."),
    Counter.SHED: (
        ("priority", "reason"),
        "Direct jobs refused for lack of room, by priority and reason.",
    ),
    Counter.MESSAGES: (
        ("type", "use"),
        "Stream messages received, by type, and whether they were needed or wasted.",
    ),
    Counter.SENT: (("type",), "Stream messages sent, by type."),
    Counter.OFFERED: (
        ("cause",),
        "Offers of free room to one entry before the others, by cause.",
    ),
    Counter.DECLINED: (
        (),
        "Answers to agents whose free room this entry needs later than announced.",
    ),
    Counter.CLOSED: (
        ("listener", "cause"),
        "Connections of clients closed or refused at a bound, by cause.",
    ),
}
_GAUGES = {
    Gauge.QUEUE: "Tasks that wait for a slot.",
    Gauge.UNPLACED: "Tasks of jobs owned here that wait for a worker.",
    Gauge.RUNNING: "Tasks that run on the upstream.",
    Gauge.PERMIT: "Milliseconds that the permit still lasts.",
    Gauge.BACKLOG: "Audit records that no entry has stored yet.",
    Gauge.LOST: "Audit records replaced by gaps since the start.",
    Gauge.WORKERS: "Agents that this entry hears from.",
    Gauge.REVISION: "Highest configuration revision applied here.",
    Gauge.REQUESTS: "Requests of clients and operators in progress.",
    Gauge.CONNECTIONS: "Open connections of clients.",
    Gauge.UNFINISHED: "Bytes received of requests that are not whole yet.",
    Gauge.ACCEPTED: "Estimated bytes of accepted requests that are not answered yet.",
}


class Metrics:
    """All metrics of one process."""

    __slots__ = (
        "_collectors",
        "_counts",
        "_gauges",
        "_histograms",
        "_label_values",
        "_latency",
        "_max_tenants",
        "_registry",
    )

    def __init__(self, max_tenants):
        """Make metrics without any counts; use `open_metrics` instead."""
        self._max_tenants = max_tenants
        self._label_values = {}
        self._counts = {counter: {} for counter in Counter}
        self._gauges = {}
        self._histograms = {}
        self._registry = aioprometheus.Registry()
        self._collectors = self._make_collectors()
        self._latency = aioprometheus.Histogram(
            f"{_PREFIX}job_latency_ms",
            "From the request to the answer of a job.",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_MS,
        )

    def count(self, counter, *values, amount=1):
        """Increase a counter.

        Args:
          counter: A Counter.
          *values: Strings, one for each label of the counter.
          amount: An integer.
        """
        counts = self._counts[counter]
        if values not in counts:
            values = self._limit_values(_COUNTERS[counter][0], values)
        counts[values] = counts.get(values, 0) + amount

    def set_count(self, counter, total, *values):
        """Set a counter to a total that is counted elsewhere.

        Args:
          counter: A Counter.
          total: An integer, not below the former one.
          *values: Strings, one for each label of the counter.
        """
        values = self._limit_values(_COUNTERS[counter][0], values)
        self._counts[counter][values] = total

    def count_message(self, message_type, needed):
        """Count a stream message.

        Args:
          message_type: A string.
          needed: A boolean; false for a message without effect at the receiver.
        """
        self.count(Counter.MESSAGES, message_type, "needed" if needed else "wasted")

    def observe_latency(self, tenant, class_, duration_ms):
        """Record how long a job took from its request to its answer.

        Args:
          tenant: A string.
          class_: A string, the job's class.
          duration_ms: A number.
        """
        values = (tenant, class_)
        if values not in self._histograms:
            values = self._limit_values(("tenant", "class"), values)
        latencies = self._histograms.get(values)
        if latencies is None:
            latencies = self._histograms[values] = self._make_histogram(values)
        latencies.observe(duration_ms)

    def set(self, gauge, value):
        """Set a gauge.

        Args:
          gauge: A Gauge.
          value: A number.
        """
        self._gauges[gauge] = value

    def render(self):
        """Render all metrics in the text format of Prometheus.

        Returns:
          A pair of bytes and a string, the value of the header `Content-Type`.
        """
        for counter, counts in self._counts.items():
            labels = _COUNTERS[counter][0]
            for values, amount in counts.items():
                label_values = dict(zip(labels, values, strict=True))
                self._collectors[counter].set(label_values, amount)
        for gauge, value in self._gauges.items():
            self._collectors[gauge].set({}, value)
        body = text.TextFormatter().marshall(self._registry)
        return body, text.TEXT_CONTENT_TYPE

    def _make_collectors(self):
        """Make the aioprometheus object of each counter and gauge."""
        collectors = {}
        for counter, (_, doc) in _COUNTERS.items():
            name = f"{_PREFIX}{counter}_total"
            collectors[counter] = aioprometheus.Counter(
                name, doc, registry=self._registry
            )
        for gauge, doc in _GAUGES.items():
            name = f"{_PREFIX}{gauge}"
            collectors[gauge] = aioprometheus.Gauge(name, doc, registry=self._registry)
        return collectors

    def _make_histogram(self, values):
        """Make the histogram of one tenant and class, and add it to the metric."""
        latencies = histogram.Histogram(*LATENCY_BUCKETS_MS)
        self._latency.set_value({"tenant": values[0], "class": values[1]}, latencies)
        return latencies

    def _limit_values(self, labels, values):
        """Replace unsafe characters, and values beyond the bound by `other`."""
        pairs = zip(labels, values, strict=True)
        return tuple(self._limit_value(label, value) for label, value in pairs)

    def _limit_value(self, label, value):
        """Replace unsafe characters of one value, or the value by `other`."""
        value = _UNSAFE_CHARACTERS.sub("_", str(value))
        values = self._label_values.setdefault(label, {OTHER})
        limit = self._max_tenants if label == "tenant" else _MAX_LABEL_VALUES
        if value in values:
            return value
        if len(values) > limit:
            return OTHER
        values.add(value)
        return value


def open_metrics(max_tenants=_MAX_TENANTS):
    """Make the metrics of this process.

    Args:
      max_tenants: An integer, the most tenants with label values of their own.

    Returns:
      A Metrics.
    """
    return Metrics(max_tenants)
