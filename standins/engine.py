"""A stand-in inference engine with adapter slots, over HTTP on loopback.

Implements the completion, adapter and load endpoints of common LoRA servers
and registers at an entry VM. ``POST /standin`` injects faults.
"""

import argparse
import asyncio
import contextlib
import json
import secrets
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import Any, Final

import aiohttp
from aiohttp import web

from .announcer import Announcer

STEP_S: Final = 0.02  # per token, with one call in the batch
STEP_GROWTH: Final = 0.02  # fraction of a step added by each further call
COLD_SLOWDOWN: Final = 10.0  # factor, above the concurrency limit
REPORT_LAG_S: Final = 0.5  # age of the reported load
CHARS_PER_TOKEN: Final = 4
DEFAULT_TOKENS: Final = 16


class Engine:
    """The state and HTTP handlers of one engine process."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.incarnation = secrets.token_hex(4)
        self.loaded: dict[str, float] = {}
        self.running = 0
        self.concurrency_limit = 1 if options.cold else options.max_in_flight
        self.highest_fence = 0
        self.received_requests: list[dict[str, Any]] = []
        self.faults: dict[str, Any] = {}
        self._reports: deque[tuple[float, int]] = deque([(0.0, 0)])

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post('/v1/completions', self.complete)
        app.router.add_post('/v1/chat/completions', self.complete)
        app.router.add_post('/v1/load_lora_adapter', self.load)
        app.router.add_post('/v1/unload_lora_adapter', self.unload)
        app.router.add_get('/load', self.report)
        app.router.add_post('/standin', self.set_faults)
        app.router.add_get('/standin', self.show)
        return app

    async def set_faults(self, req: web.Request) -> web.Response:
        """Set faults, or simulate a restart without adapters."""
        document = await req.json()
        if document.pop('restart', False):
            self.incarnation = secrets.token_hex(4)
            self.loaded.clear()
            self.highest_fence = 0
            self.concurrency_limit = 1
        self.faults.update(document)
        return web.json_response(self.faults)

    async def show(self, req: web.Request) -> web.Response:
        """Return the requests received so far and the running calls."""
        return web.json_response(
            {'seen': self.received_requests, 'running': self.running}
        )

    async def report(self, req: web.Request) -> web.Response:
        """Return the adapters, and the load as of ``REPORT_LAG_S`` ago."""
        if self.faults.get('silent'):
            await asyncio.sleep(3600)
        now = time.monotonic()
        while len(self._reports) > 1 and self._reports[1][0] <= now:
            self._reports.popleft()
        return web.json_response(
            {
                'incarnation': self.incarnation,
                'adapters': list(self.loaded),
                'running': self._reports[0][1],
            }
        )

    async def load(self, req: web.Request) -> web.Response:
        """Load an adapter version from the weight store."""
        label = await self._read_order(req)
        if label is None:
            return web.json_response({'error': 'fenced'}, status=409)
        if len(self.loaded) >= self.options.adapter_slots:
            return web.json_response({'error': 'no free slot'}, status=507)
        if self.faults.get('fail_loads', 0) > 0:
            self.faults['fail_loads'] -= 1
            return web.json_response({'error': 'load failed'}, status=500)
        if self.options.store:
            url = f'http://{self.options.store}/weights/{label}'
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as reply,
            ):
                if reply.status != 200:
                    return web.json_response({}, status=503)
        self.loaded[label] = time.monotonic()
        return web.json_response({'loaded': label})

    async def unload(self, req: web.Request) -> web.Response:
        """Evict an adapter version."""
        label = await self._read_order(req)
        if label is None:
            return web.json_response({'error': 'fenced'}, status=409)
        self.loaded.pop(label, None)
        return web.json_response({'unloaded': label})

    async def complete(self, req: web.Request) -> web.StreamResponse:
        """Answer a completion request, as a stream or in one response."""
        document = await req.json()
        headers = dict(req.headers)
        self.received_requests.append({'headers': headers, 'body': document})
        label = document.get('model', '')
        if label not in self.loaded:
            error = {'message': f'{label} is not loaded', 'code': 'not_found'}
            return web.json_response({'error': error}, status=404)
        if self.faults.get('crash_on', '\0') in json.dumps(document):
            self._abort_connection(req)
        self._change_running(1)
        try:
            return await self._answer(req, document, label)
        finally:
            self._change_running(-1)
            self.concurrency_limit = min(
                self.options.max_in_flight, self.concurrency_limit + 1
            )

    async def _answer(
        self,
        req: web.Request,
        document: dict[str, Any],
        label: str,
    ) -> web.StreamResponse:
        chat = req.path.endswith('chat/completions')
        tokens = int(
            document.get('max_tokens')
            or document.get('max_completion_tokens')
            or DEFAULT_TOKENS
        )
        words = self._generate_words(label, tokens)
        if not document.get('stream'):
            text = ''.join([word async for word in words])
            return web.json_response(
                _completion_document(document, chat, text, tokens),
            )
        return await self._stream(req, document, chat, words, tokens)

    async def _stream(
        self,
        req: web.Request,
        document: dict[str, Any],
        chat: bool,
        words: AsyncIterator[str],
        tokens_left: int,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'},
        )
        await response.prepare(req)
        answer_id = _new_id()
        async for word in words:
            tokens_left -= 1
            chunk = _chunk_document(document, chat, word, last=tokens_left == 0)
            event = json.dumps({**chunk, 'id': answer_id})
            await response.write(f'data: {event}\n\n'.encode())
            if self.faults.get('break_streams'):
                self._abort_connection(req)
            if self.faults.get('silent'):
                await asyncio.sleep(3600)
        await response.write(b'data: [DONE]\n\n')
        await response.write_eof()
        return response

    async def _generate_words(
        self, label: str, tokens: int
    ) -> AsyncIterator[str]:
        for number in range(tokens):
            await asyncio.sleep(self._step_s())
            yield f'{label} ' if number == 0 else f'w{number} '

    def _step_s(self) -> float:
        growth = self.options.step_growth * (self.running - 1)
        step: float = self.options.step_s * (1 + growth)
        return (
            step * COLD_SLOWDOWN
            if self.running > self.concurrency_limit
            else step
        )

    def _change_running(self, change: int) -> None:
        self.running += change
        due = time.monotonic() + REPORT_LAG_S
        self._reports.append((due, self.running))

    async def _read_order(self, req: web.Request) -> str | None:
        fence = int(req.headers.get('X-Fencing-Number', 0))
        if self.options.fencing and fence < self.highest_fence:
            return None
        self.highest_fence = max(self.highest_fence, fence)
        return str((await req.json())['lora_name'])

    def _abort_connection(self, req: web.Request) -> None:
        if req.transport:
            req.transport.abort()
        raise asyncio.CancelledError


def _chunk_document(
    document: dict[str, Any],
    chat: bool,
    word: str,
    *,
    last: bool,
) -> dict[str, Any]:
    """Return one chunk of a stream; the last has a ``finish_reason``."""
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': 'length' if last else None,
    }
    if chat:
        choice['delta'] = {'role': 'assistant', 'content': word}
    else:
        choice['text'] = word
    kind = 'chat.completion.chunk' if chat else 'text_completion'
    return _envelope(document, kind, choice)


def _completion_document(
    document: dict[str, Any],
    chat: bool,
    text: str,
    tokens: int,
) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
    if chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    kind = 'chat.completion' if chat else 'text_completion'
    prompt = len(json.dumps(document)) // CHARS_PER_TOKEN
    usage = {
        'prompt_tokens': prompt,
        'completion_tokens': tokens,
        'total_tokens': prompt + tokens,
    }
    return {**_envelope(document, kind, choice), 'usage': usage}


def _new_id() -> str:
    return f'cmpl-{secrets.token_hex(6)}'


def _envelope(
    document: dict[str, Any],
    kind: str,
    choice: dict[str, Any],
) -> dict[str, Any]:
    return {
        'id': _new_id(),
        'object': kind,
        'created': int(time.time()),
        'model': document['model'],
        'choices': [choice],
    }


async def serve(options: argparse.Namespace) -> None:
    """Serve requests and register periodically until cancelled."""
    engine = Engine(options)
    runner = web.AppRunner(engine.app(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', options.port, backlog=2048).start()
    announcer = Announcer.from_options(options, lambda: engine.incarnation)
    await announcer.run()


def main() -> None:
    """Run an engine from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    Announcer.add_options(parser)
    parser.add_argument('--adapter-slots', type=int, default=8)
    parser.add_argument('--max-in-flight', type=int, default=16)
    parser.add_argument('--step-s', type=float, default=STEP_S)
    parser.add_argument('--step-growth', type=float, default=STEP_GROWTH)
    parser.add_argument('--store', default='', help='host:port')
    parser.add_argument('--fencing', type=int, default=1)
    parser.add_argument('--cold', type=int, default=1)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
