"""Cuts an event stream into whole events, so that it can be resumed."""

from typing import Final

EVENT_END: Final = b'\n\n'
ID_FIELD: Final = b'id:'


class EventStreamBuffer:
    """Passes on whole events only and remembers the last one's id."""

    def __init__(self) -> None:
        self.last_id = ''
        self._tail = b''

    def feed(self, chunk: bytes) -> bytes:
        """Take a part of a stream and return the events that are whole."""
        buffered = self._tail + chunk
        end = buffered.rfind(EVENT_END)
        if end < 0:
            self._tail = buffered
            return b''
        end += len(EVENT_END)
        self._tail = buffered[end:]
        whole = buffered[:end]
        self._note_id(whole)
        return whole

    def flush(self) -> bytes:
        """Return what follows the last whole event at a stream's end."""
        tail = self._tail
        self._tail = b''
        return tail

    def discard_partial(self) -> None:
        """Drop a part of an event whose stream broke off."""
        self._tail = b''

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b'\n')):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
                return
