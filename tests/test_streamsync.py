"""Streams on their way from entry VMs to control VMs, in virtual time."""

from typing import Final

import pytest
from lovagemast_core.streams import (
    StreamCopies,
    StreamOrigin,
    StreamReports,
    StreamStart,
)
from lovagemast_core.targets import SyncAsk, SyncReply
from lovagemast_wire import to_wire

from tests.relayfleet import Entry, RelayFleet

ORIGIN: Final = StreamOrigin('coach-models', 'v1.1')
SECONDS: Final = 10.0
STEP_S: Final = 0.05
IDLE_S: Final = 0.25  # a sync interval, and the way to the relay
URGENT_S: Final = 0.05  # while several versions serve


class StreamEntry(Entry):
    """An entry VM that reports its streams."""

    def __init__(self, vm: str, zone: str, seeds: tuple[str, ...]) -> None:
        super().__init__(vm, zone, seeds)
        self.reports = StreamReports()

    def build_ask(self, number: int, now: float) -> SyncAsk:
        """Return the next sync request."""
        if not self.seen:
            self.reports.restart()
        ask = super().build_ask(number, now)
        return ask._replace(streams=self.reports.take(number))

    def on_reply(self, reply: SyncReply, asked_at: float, now: float) -> None:
        """Apply a relay's reply."""
        super().on_reply(reply, asked_at, now)
        self.reports.on_reply(reply.ask)


class StreamFleet(RelayFleet):
    """Lets streams begin, and notes when a control VM knows them."""

    def __init__(self, entries: int, *, is_urgent: bool) -> None:
        self.began: dict[int, float] = {}
        self.known: dict[int, float] = {}
        self._is_urgent = is_urgent
        super().__init__(3, entries)
        seeds = tuple(self.relays)
        self.entries = {
            vm: StreamEntry(vm, one.zone, seeds)
            for vm, one in self.entries.items()
        }
        self.publish()
        self.run(2.0)

    def begin_streams(self) -> None:
        """Let a stream begin at each entry VM, at different times."""
        for vm, entry in self.entries.items():
            assert isinstance(entry, StreamEntry)
            if self.rng.random() < STEP_S:
                key = len(self.began)
                self.began[key] = self.now
                entry.reports.record(StreamStart(key, ORIGIN), self.now)
                if self._is_urgent and vm in self._streams:
                    stream = self._streams[vm]
                    stream.next_at = min(stream.next_at, self.now)

    def delays(self) -> list[float]:
        """Return how long each stream was known to its entry VM only, in s."""
        assert len(self.known) >= len(self.began) - len(self.entries)
        return sorted(at - self.began[key] for key, at in self.known.items())

    def _end_step(self) -> None:
        for relay in self.relays.values():
            for key in self.began:
                if key not in self.known and relay.streams.table.find(
                    key, self.now
                ):
                    self.known[key] = self.now


@pytest.mark.parametrize(
    ('is_urgent', 'limit_s'), [(False, IDLE_S), (True, URGENT_S)]
)
def test_stream_is_soon_safe_from_the_loss_of_its_vm(
    is_urgent: bool, limit_s: float
) -> None:
    """A kill of all entry VMs loses only what began just before."""
    fleet = StreamFleet(61, is_urgent=is_urgent)
    for _step in range(round(SECONDS / STEP_S)):
        fleet.begin_streams()
        fleet.run(STEP_S)
    delays = fleet.delays()
    assert len(delays) > 100
    assert delays[len(delays) * 99 // 100] <= limit_s


def test_report_of_a_stream_is_small() -> None:
    """An entry VM reports 50 streams a second with a part of its 4 KB/s."""
    starts = tuple(StreamStart(2**62 + key, ORIGIN) for key in range(50))
    assert to_wire(StreamCopies(starts)).ByteSize() < 2_000
