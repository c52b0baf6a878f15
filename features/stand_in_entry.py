"""An HTTP server that gives an entry's prepared answers.

Used by the features of the command line. It runs on an event loop in a thread of its
own, so that the command under test can run an event loop too.
"""

import asyncio
import threading

from aiohttp import web


class StandInEntry:
    """An entry that gives prepared answers in order, and records the requests."""

    def __init__(self, answers):
        """Start the server.

        Args:
          answers: A sequence of pairs: a status, or `lost` to close the connection
            without an answer; and the body, bytes.
        """
        self._answers = list(answers)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self.requests = []
        self.url = self._call(self._start())

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _start(self):
        self._runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        return f"http://{host}:{port}"

    async def _answer(self, request):
        body = await request.json() if request.can_read_body else {}
        self.requests.append((f"{request.method} {request.path}", body.get("id", "")))
        # The last answer is repeated for all later requests.
        status, content = self._answers[0]
        if len(self._answers) > 1:
            del self._answers[0]
        if status == "lost":
            request.transport.abort()
            return web.Response()
        return web.Response(status=int(status), body=content)

    def close(self):
        """Stop the server."""
        self._call(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
