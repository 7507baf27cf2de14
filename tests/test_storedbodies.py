"""Tests of the bodies that a VM keeps for requests that are repeated."""

from typing import Any

import pytest
from lovagemast_core.requests._claims import MAX_STORED_BODY_BYTES
from lovagemast_core.requests._context import RequestContext
from lovagemast_core.requests._responses import ResponseWriter

KIB = 1_024


class Recorder:
    """Stands in for the parts that a response passes through."""

    def __init__(self) -> None:
        self.finished: list[int] = []

    def emit(self, _effect: object) -> None:
        """Drop an effect."""

    def finish(self, ctx: RequestContext, *_rest: object) -> None:
        """Record the size of the body that is stored."""
        self.finished.append(len(ctx.stored_body))

    def record(self, *_rest: object, **_options: object) -> None:
        """Drop what is charged and told."""


def make_context() -> Any:
    """Return a claimed request whose head was sent."""
    ctx: Any = RequestContext.__new__(RequestContext)
    ctx.head_sent = True
    ctx.claim = 'c1'
    ctx.stored_body = bytearray()
    ctx.detached = True
    return ctx


@pytest.mark.parametrize('size', [1, 60, 64 * KIB])
def test_held_bytes_are_bounded(size: int) -> None:
    """A body that is too long to be stored is not kept.

    Guards against a process that held all that a target sent without end.
    """
    recorder: Any = Recorder()
    writer = ResponseWriter(recorder, recorder, recorder, recorder.record)
    ctx = make_context()
    for _chunk in range(256 * KIB // size):
        writer.send_chunk(ctx, recorder, b'x' * size)
    assert MAX_STORED_BODY_BYTES < len(ctx.stored_body) <= 5 * KIB


@pytest.mark.parametrize(
    ('size', 'is_stored'),
    [
        (MAX_STORED_BODY_BYTES - 1, True),
        (MAX_STORED_BODY_BYTES, True),
        (MAX_STORED_BODY_BYTES + 1, False),
        (2 * MAX_STORED_BODY_BYTES, False),
    ],
)
def test_whole_bodies_only(
    monkeypatch: pytest.MonkeyPatch, size: int, *, is_stored: bool
) -> None:
    """A body is stored whole or not at all."""
    recorder: Any = Recorder()
    writer = ResponseWriter(recorder, recorder, recorder, recorder.record)
    monkeypatch.setattr(writer, '_record', recorder.record)
    monkeypatch.setattr(writer, '_close', recorder.record)
    ctx = make_context()
    ctx.req = recorder
    recorder.prompt_tokens = 0
    ctx.output_tokens = 0
    recorder.status = 200
    recorder.media_type = ''
    for start in range(0, size, KIB):
        writer.send_chunk(ctx, recorder, b'x' * min(KIB, size - start))
    writer.end(ctx, recorder, 1.0)
    assert recorder.finished == ([size] if is_stored else [])
