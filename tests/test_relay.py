"""Tests of the relay of streams to callers."""

import asyncio

import pytest
from lovagemast_node.fleet import _relay
from lovagemast_node.http import ResponseHead
from lovagemast_platform._edge import PlatformEdge

HEAD = ResponseHead(200, (), None)


class Caller:
    """A caller's side that takes all that it gets."""

    def __init__(self) -> None:
        self.started = False
        self.passed = b''

    def start(self, status: int, headers: object, length: int | None) -> None:
        """Begin an answer."""
        self.started = True

    async def write(self, chunk: bytes) -> None:
        """Take a part of the answer."""
        self.passed += chunk


class TestPauses:
    @pytest.mark.parametrize(
        ('resumed', 'target_pause_s'),
        [(False, 3.0), (True, 0.5)],
    )
    def test_pause_of_a_lost_target(
        self,
        monkeypatch: pytest.MonkeyPatch,
        resumed: bool,
        target_pause_s: float,
    ) -> None:
        """The pause until a stream goes on is not the next target's."""
        times = iter([10.0, 10.0, 13.0, 13.5])
        monkeypatch.setattr(_relay, 'now_s', lambda: next(times))
        relay = _relay.Relay(Caller(), PlatformEdge())  # type: ignore[arg-type]

        async def play() -> None:
            relay.begin_stream()
            await relay.pass_events(HEAD, b'id: 1\n\n')
            if resumed:
                relay.begin_stream()
            await relay.pass_events(HEAD, b'id: 2\n\n')
            await relay.pass_events(HEAD, b'id: 3\n\n')

        asyncio.run(play())
        assert relay.longest_pause_s == pytest.approx(3.0)
        assert relay.target_pause_s == pytest.approx(target_pause_s)
