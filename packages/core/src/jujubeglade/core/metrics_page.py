"""The page on which a process shows its metrics: GET /metrics.

    app = metrics_page.application(held, measure)    # an aiohttp.web.Application

Gauges are measured when somebody reads the page, not while the process works.
"""

from aiohttp import web

from jujubeglade.core import link, metrics


def application(held, measure):
    """Make an application with the page alone.

    Args:
      held: A Metrics.
      measure: A function without arguments that sets the gauges of `held`.

    Returns:
      An aiohttp.web.Application.
    """
    app = web.Application()
    add_route(app, held, measure)
    return app


def add_route(app, held, measure):
    """Add the page to an application.

    Args:
      app: An aiohttp.web.Application.
      held: A Metrics.
      measure: A function without arguments that sets the gauges of `held`.
    """

    async def show(request):
        measure()
        for name, total in link.sent_counts.items():
            held.set_count(metrics.Counter.SENT, total, name)
        body, content_type = held.render()
        return web.Response(body=body, headers={"Content-Type": content_type})

    app.router.add_get("/metrics", show)


async def serve(app, address):
    """Listen for readers of the page.

    Args:
      app: An aiohttp.web.Application.
      address: An Address of the settings.

    Returns:
      An aiohttp.web.AppRunner, for its `cleanup` and its `addresses`.
    """
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    return runner
