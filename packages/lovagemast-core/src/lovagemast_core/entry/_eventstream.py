"""Reassembles complete server-sent events, so that a stream can be resumed."""

from typing import Final

# A line ends with LF, CRLF or CR, and an event with an empty line.
EVENT_ENDS: Final = (b'\n\n', b'\n\r\n', b'\r\r')
ID_FIELD: Final = b'id:'


class EventStreamBuffer:
    """Buffers incomplete events and keeps the id of the last complete event."""

    def __init__(self) -> None:
        self.last_id = ''
        self._partial = b''

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
        buffered = self._partial + chunk if self._partial else chunk
        end = _end_of_events(buffered)
        if not end:
            self._partial = buffered
            return b''
        self._partial = buffered[end:]
        complete = buffered[:end]  # the same object if all are complete
        self._update_last_id(complete)
        return complete

    def flush(self) -> bytes:
        """Return the bytes after the last complete event, at a stream's end."""
        partial = self._partial
        self._partial = b''
        return partial

    def discard_partial(self) -> None:
        """Discard the incomplete event of a stream that broke off."""
        self._partial = b''

    def _update_last_id(self, complete: bytes) -> None:
        if ID_FIELD not in complete:
            return
        for line in reversed(complete.replace(b'\r', b'\n').split(b'\n')):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
                return


def _end_of_events(buffered: bytes) -> int:
    """Return the length of the complete events, 0 if there is none."""
    if buffered.endswith(EVENT_ENDS):  # as most chunks do
        return len(buffered)
    ends = (
        buffered.rfind(mark) + len(mark)
        for mark in EVENT_ENDS
        if mark in buffered
    )
    return max(ends, default=0)
