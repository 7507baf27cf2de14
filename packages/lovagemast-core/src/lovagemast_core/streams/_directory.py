"""A control VM's directory of streams, shared with other control VMs."""

from collections.abc import Iterable, Mapping
from typing import Final

from .._types import VmName, ZoneName
from ._records import (
    FoundStream,
    StreamAnswer,
    StreamCopies,
    StreamKey,
    StreamQuery,
    StreamStart,
)
from ._table import StreamTable

COPIES: Final = 2  # of each stream, at other control VMs
MAX_UNCOPIED: Final = 4_096
# After which control VMs that have not answered count as not knowing.
QUERY_TIMEOUT_S: Final = 0.2
QUERY_TTL_S: Final = 2.0  # for which an answer "unknown" holds

StreamMessage = StreamCopies | StreamQuery | StreamAnswer
AddressedMessage = tuple[VmName, StreamMessage]


class _Query:
    """A lookup at other control VMs."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.is_sent = False
        self.waiting: set[VmName] = set()

    def is_over(self, now: float) -> bool:
        """Return whether nobody is going to know the stream."""
        if now - self.started_at > QUERY_TIMEOUT_S:
            return True
        return self.is_sent and not self.waiting


class StreamDirectory:
    """Remembers streams of its entry VMs, and copies of others'.

    A stream is copied to control VMs of other availability zones, so that it
    survives the loss of one. What is not known here is asked of all others.
    """

    def __init__(self, vm: VmName, zone: ZoneName) -> None:
        self.table = StreamTable()
        self._vm = vm
        self._zone = zone
        self._uncopied: list[StreamStart] = []
        self._queries: dict[StreamKey, _Query] = {}

    @property
    def has_messages(self) -> bool:
        """Return whether there is something to send to other control VMs."""
        is_asked = any(not query.is_sent for query in self._queries.values())
        return bool(self._uncopied) or is_asked

    def add(self, starts: tuple[StreamStart, ...], now: float) -> None:
        """Add streams that an entry VM reports."""
        self.table.record(starts, now)
        uncopied = (*self._uncopied, *starts)
        self._uncopied = list(uncopied[-MAX_UNCOPIED:])

    def look_up(
        self, keys: Iterable[StreamKey], now: float
    ) -> tuple[FoundStream, ...]:
        """Return what is known; the others are asked for the rest."""
        self._expire(now)
        answers = (self._look_up(key, now) for key in keys)
        return tuple(one for one in answers if one is not None)

    def take_messages(
        self, zones: Mapping[VmName, ZoneName], now: float
    ) -> list[AddressedMessage]:
        """Return the messages to send to other control VMs.

        ``zones`` holds the control VMs that run, with their zones.
        """
        others = [vm for vm in sorted(zones) if vm != self._vm]
        messages: list[AddressedMessage] = []
        if self._uncopied:
            copies = StreamCopies(tuple(self._uncopied))
            messages.extend(
                (vm, copies) for vm in self._copy_holders(others, zones)
            )
            self._uncopied = []
        keys = self._start_queries(others)
        if keys:
            messages.extend((vm, StreamQuery(keys)) for vm in others)
        return messages

    def receive(
        self, sender: VmName, message: StreamMessage, now: float
    ) -> StreamAnswer | None:
        """Handle another control VM's message; return the answer to it."""
        match message:
            case StreamCopies():
                self.table.record(message.starts, now)
            case StreamQuery():
                return self._answer(message, now)
            case StreamAnswer():
                self._on_answer(sender, message, now)
        return None

    def _look_up(self, key: StreamKey, now: float) -> FoundStream | None:
        origin = self.table.find(key, now)
        if origin is not None:
            return FoundStream(key, origin)
        query = self._queries.setdefault(key, _Query(now))
        return FoundStream(key, None) if query.is_over(now) else None

    def _answer(self, query: StreamQuery, now: float) -> StreamAnswer:
        found = []
        unknown = []
        for key in query.keys:
            origin = self.table.find(key, now)
            if origin is None:
                unknown.append(key)
            else:
                found.append(StreamStart(key, origin))
        return StreamAnswer(tuple(found), tuple(unknown))

    def _on_answer(
        self, sender: VmName, answer: StreamAnswer, now: float
    ) -> None:
        self.table.record(answer.found, now)
        for key in answer.unknown:
            query = self._queries.get(key)
            if query:
                query.waiting.discard(sender)

    def _start_queries(self, others: list[VmName]) -> tuple[StreamKey, ...]:
        keys = [
            key for key, query in self._queries.items() if not query.is_sent
        ]
        for key in keys:
            self._queries[key].is_sent = True
            self._queries[key].waiting = set(others)
        return tuple(keys)

    def _copy_holders(
        self, others: list[VmName], zones: Mapping[VmName, ZoneName]
    ) -> list[VmName]:
        """Return the next VMs in the order of names, of other zones first."""
        later = [vm for vm in others if vm > self._vm]
        earlier = [vm for vm in others if vm < self._vm]
        ring = later + earlier
        ring.sort(key=lambda vm: zones[vm] == self._zone)
        return ring[:COPIES]

    def _expire(self, now: float) -> None:
        self._queries = {
            key: query
            for key, query in self._queries.items()
            if now - query.started_at < QUERY_TTL_S
        }
