"""An entry's HTTP interface that gives prepared answers.

Used by the features of the command line. It runs in a thread with a loop of its
own, so that the command under test may run one too.
"""

import asyncio
import threading

from aiohttp import web


class StandInEntry:
    """An entry that gives the answers it was told, in order."""

    def __init__(self, answers):
        """Start to answer.

        Args:
          answers: A sequence of pairs: a status or `lost`, and the body's bytes.
        """
        self._answers = list(answers)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self.asked = []
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
        self.asked.append((f"{request.method} {request.path}", body.get("id", "")))
        # The last answer stands for all that follow.
        status, content = self._answers[0]
        if len(self._answers) > 1:
            del self._answers[0]
        if status == "lost":
            request.transport.abort()
            return web.Response()
        return web.Response(status=int(status), body=content)

    def close(self):
        """Stop answering."""
        self._call(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
