"""A fake host that sends preset answers and records the calls that it received."""

import asyncio
import json
import threading
from dataclasses import dataclass

from aiohttp import web

LOOPBACK = "127.0.0.1"


@dataclass(frozen=True)
class ReceivedCall:
    method: str
    path: str
    query: dict
    headers: dict
    body: object


class FakeHost:
    """Serve on a loopback address from a thread.

    `answers` maps (method, path) to a list of answers, each (status, body) or (status, body,
    headers). They are sent in their order, and the last one is repeated. Other paths get 404.
    """

    def __init__(self, answers):
        self.answers = answers
        self.received = []
        self._started = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._serve, daemon=True)

    @property
    def address(self):
        return f"{LOOPBACK}:{self.port}"

    def __enter__(self):
        self._thread.start()
        self._started.wait(10)
        return self

    def __exit__(self, *_):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)

    def _serve(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._start())
        self._started.set()
        self._loop.run_forever()
        self._loop.run_until_complete(self._runner.cleanup())
        self._loop.close()

    async def _start(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def _answer(self, request):
        text = await request.text()
        body = json.loads(text) if text else None
        headers = dict(request.headers)
        self.received.append(
            ReceivedCall(request.method, request.path, dict(request.query), headers, body)
        )
        answers = self.answers.get((request.method, request.path))
        if not answers:
            return web.json_response({"reason": "unknown-request", "detail": "none"}, status=404)
        status, content, *more = answers.pop(0) if len(answers) > 1 else answers[0]
        if isinstance(content, str):
            return web.Response(text=content, status=status)
        return web.json_response(content, status=status, headers=more[0] if more else None)
