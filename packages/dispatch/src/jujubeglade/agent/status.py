"""The pages of an agent: whether it lives, whether it may start tasks, its metrics.

| page           | answer                                                          |
|----------------|-----------------------------------------------------------------|
| `GET /health`  | 200 while the process serves                                    |
| `GET /ready`   | 200 while tasks may start here, else 503 and the reason         |
| `GET /metrics` | the metrics in the text format                                  |
"""

from aiohttp import web

from jujubeglade.core import metrics, metrics_page

_MAX_TENANTS = 50


class Status:
    """What one agent shows of itself."""

    __slots__ = ("_agent", "_metrics")

    def __init__(self, agent):
        """Show an agent.

        Args:
          agent: The Agent.
        """
        self._agent = agent
        self._metrics = metrics.open_metrics(_MAX_TENANTS)

    def application(self):
        """Make the application of all pages.

        Returns:
          An aiohttp.web.Application.
        """
        app = self.metrics_application()
        app.router.add_get("/health", self._health)
        app.router.add_get("/ready", self._ready)
        return app

    def metrics_application(self):
        """Make the application of the metrics alone.

        Returns:
          An aiohttp.web.Application.
        """
        return metrics_page.application(self._metrics, self._measure)

    async def _health(self, request):
        return web.json_response({"status": "ok"})

    async def _ready(self, request):
        refusal = self._agent.refusal()
        status = 200 if refusal is None else 503
        text = "ready" if refusal is None else str(refusal)
        return web.json_response({"status": text}, status=status)

    def _measure(self):
        """Bring the metrics up to date."""
        agent, held = self._agent, self._metrics
        load = agent.executor.load()
        held.set(metrics.Gauge.QUEUE, load.queued)
        held.set(metrics.Gauge.RUNNING, load.running)
        held.set(metrics.Gauge.PERMIT, agent.permits.remaining_ms())
        held.set(metrics.Gauge.REVISION, agent.permits.revision)
        held.set(metrics.Gauge.BACKLOG, agent.journal.backlog)
        held.set(metrics.Gauge.LOST, agent.journal.lost_count)
        held.set(metrics.Gauge.UNPLACED, agent.home.scheduler.queued)
        again = agent.home.scheduler.counts
        held.set_count(metrics.Counter.RETRIED, again["retried"])
        held.set_count(metrics.Counter.HEDGED, again["hedged"])
        held.set_count(metrics.Counter.STARTED, agent.executor.started)
        for reason, total in agent.executor.rejected.items():
            held.set_count(metrics.Counter.REJECTED, total, str(reason))
        for tenant, total in agent.home.accepted.items():
            held.set_count(metrics.Counter.ACCEPTED, total, tenant)
        for state, total in agent.home.answered.items():
            held.set_count(metrics.Counter.ANSWERED, total, str(state))
