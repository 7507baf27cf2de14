"""Tests of relaying event streams to clients."""

import asyncio

import pytest
from lovagemast_node.fleet import _relay
from lovagemast_node.http import ResponseHead
from lovagemast_platform._entry import PlatformEntryCodec

HEAD = ResponseHead(200, (), None)


class RecordingResponder:
    """A responder that records the body bytes it is given."""

    def __init__(self) -> None:
        self.started = False
        self.passed = b''

    def start(self, status: int, headers: object, length: int | None) -> None:
        """Start a response."""
        self.started = True

    async def write(self, chunk: bytes) -> None:
        """Record a part of the body."""
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
        """The pause before a resumption does not count for the new target.

        Otherwise the limits of the new target would fall for the failure of
        the previous one.
        """
        times = iter([10.0, 10.0, 13.0, 13.5])
        monkeypatch.setattr(_relay, 'now_s', lambda: next(times))
        relay = _relay.ResponseRelay(RecordingResponder(), PlatformEntryCodec())  # type: ignore[arg-type]

        async def relay_stream() -> None:
            relay.begin_stream()
            await relay.relay_events(HEAD, b'id: 1\n\n')
            if resumed:
                relay.begin_stream()
            await relay.relay_events(HEAD, b'id: 2\n\n')
            await relay.relay_events(HEAD, b'id: 3\n\n')

        asyncio.run(relay_stream())
        assert relay.longest_pause_s == pytest.approx(3.0)
        assert relay.target_pause_s == pytest.approx(target_pause_s)
