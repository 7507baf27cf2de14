"""The software version at which a request's stream may go on."""

from typing import Final

from lovagemast_core.streams import StreamStart, stream_key

from .._clock import now_s
from ._admitted import AdmittedRequest
from ._entrystate import EntryState
from ._refusal import HttpRefusal

LOOKUP_WAIT_S: Final = 0.4  # control VMs ask each other meanwhile
LOOKUP_POLL_S: Final = 0.02
UNAVAILABLE: Final = 503
# First words of the refusal's reason, which callers may rely on.
UNKNOWN_CODE: Final = 'stream-version-unknown'
GONE_CODE: Final = 'stream-version-gone'


class StreamOrigin:
    """Finds and remembers which software version began a stream.

    ``software`` is ``None`` as long as any version will do: before the first
    event of a new stream, and if only one version can have begun it.
    """

    def __init__(self, state: EntryState, admitted: AdmittedRequest) -> None:
        self.software: str | None = None
        self._state = state
        self._admitted = admitted
        metadata = admitted.metadata
        began_as = metadata.request_id
        if admitted.takes_up and metadata.resumes:
            began_as = metadata.resumes
        self._key = stream_key(admitted.account_name, began_as)

    async def find(self) -> HttpRefusal | None:
        """Find the version of a stream that its client takes up.

        Return a refusal if there are several versions and nobody knows.
        """
        versions = self._state.view.software_of(self._admitted.pool.name)
        if not self._admitted.takes_up or len(versions) == 1:
            return None
        self.software = await self._look_up()
        result = 'unknown' if self.software is None else 'found'
        self._state.metrics.record_stream_lookup(result)
        if self.software is not None:
            return None
        resumed = self._admitted.metadata.resumes or 'no request named'
        return HttpRefusal(UNAVAILABLE, f'{UNKNOWN_CODE}: {resumed}')

    def record_event(self, software: str) -> None:
        """Record the version of a target whose event is sent on."""
        if not self._admitted.route.resumable or self.software is not None:
            return
        self.software = software
        start = StreamStart(self._key, software)
        self._state.streams.record(start, now_s())
        if len(self._state.view.software_of(self._admitted.pool.name)) > 1:
            self._state.request_sync()

    def refusal_if_gone(self) -> HttpRefusal | None:
        """Return a refusal if no target of the version is in service."""
        pool = self._admitted.pool.name
        if self.software is None or self._state.view.serves(
            pool, self.software
        ):
            return None
        self._state.metrics.record_stream_lookup('gone')
        return HttpRefusal(UNAVAILABLE, f'{GONE_CODE}: {self.software}')

    async def _look_up(self) -> str | None:
        if not self._admitted.metadata.resumes:
            return None
        own = self._state.streams.find(self._key, now_s())
        if own is not None:
            return own
        lookups = self._state.lookups
        give_up_at = min(now_s() + LOOKUP_WAIT_S, self._admitted.deadline)
        lookups.begin(self._key)
        try:
            while now_s() < give_up_at:
                self._state.request_sync()
                await self._state.wait_for_update(LOOKUP_POLL_S)
                answer = lookups.answer(self._key)
                if answer:
                    return answer.software
        finally:
            lookups.end(self._key)
        return None
