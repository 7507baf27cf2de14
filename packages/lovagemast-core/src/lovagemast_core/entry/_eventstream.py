"""Reassembles complete server-sent events, so that a stream can be resumed."""

from typing import Final

# A line ends with LF, CRLF or CR, and an event with an empty line.
EVENT_ENDS: Final = (b'\n\n', b'\n\r\n', b'\r\r')
# Of an end, in the bytes before a chunk that completes it.
MAX_OVERLAP_BYTES: Final = max(map(len, EVENT_ENDS)) - 1
ID_FIELD: Final = b'id:'


class EventStreamBuffer:
    """Buffers incomplete events and keeps the id of the last complete event.

    Each byte is appended and searched once, however small the chunks are.
    """

    def __init__(self) -> None:
        self.last_id = ''
        self._partial = bytearray()  # contains no end of an event

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._partial)

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun and is not complete.

        Blank lines between events and at the end of a stream are no event.
        """
        return bool(self._partial.strip())

    def feed(self, chunk: bytes) -> bytes:
        """Take the next chunk and return the events that are now complete."""
        # Most chunks are whole events, and are not copied.
        if not self._partial and chunk.endswith(EVENT_ENDS):
            self._update_last_id(chunk)
            return chunk
        # An end may have begun in the bytes before the chunk.
        start = max(0, len(self._partial) - MAX_OVERLAP_BYTES)
        self._partial += chunk
        end = _end_of_events(self._partial, start)
        if not end:
            return b''
        complete = bytes(self._partial[:end])
        self._partial = self._partial[end:]  # of the chunk only
        self._update_last_id(complete)
        return complete

    def flush(self) -> bytes:
        """Return the bytes after the last complete event, at a stream's end."""
        partial = bytes(self._partial)
        self._partial = bytearray()
        return partial

    def discard_partial(self) -> None:
        """Discard the incomplete event of a stream that broke off."""
        self._partial = bytearray()

    def _update_last_id(self, complete: bytes) -> None:
        if ID_FIELD not in complete:
            return
        for line in reversed(complete.replace(b'\r', b'\n').split(b'\n')):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
                return


def _end_of_events(buffered: bytearray, start: int) -> int:
    """Return the length of the complete events, 0 if there is none.

    Only ends that begin at ``start`` or later are looked for.
    """
    ends = (
        found + len(mark)
        for mark in EVENT_ENDS
        if (found := buffered.rfind(mark, start)) >= 0
    )
    return max(ends, default=0)
