"""What began a request's stream, and so has to go on with it."""

from typing import Final, NamedTuple

from lovagemast_core.deployment import PoolSpec
from lovagemast_core.streams import (
    StreamOrigin,
    StreamStart,
    stream_key,
)

from .._clock import now_s
from ._admitted import AdmittedRequest
from ._entrystate import EntryState
from ._refusal import HttpRefusal

LOOKUP_WAIT_S: Final = 0.4  # control VMs ask each other meanwhile
LOOKUP_POLL_S: Final = 0.02
# Of a view that has all versions of targets that may have begun a stream.
MAX_VIEW_AGE_S: Final = 1.0
UNAVAILABLE: Final = 503
# First words of the refusal's reason, which callers may rely on.
UNKNOWN_CODE: Final = 'stream-version-unknown'
GONE_CODE: Final = 'stream-version-gone'


class _Lookup(NamedTuple):
    """What is known of a stream's origin; ``None`` if nobody knows any.

    Without an answer, somebody may know it.
    """

    origin: StreamOrigin | None
    is_answered: bool


class StreamContinuity:
    """Keeps a stream with the pool and software version that began it.

    ``software`` is ``None`` as long as any version will do: before the first
    event of a new stream, and if only one version can have begun it.
    """

    def __init__(self, state: EntryState, admitted: AdmittedRequest) -> None:
        self.software: str | None = None
        self._state = state
        self._admitted = admitted
        metadata = admitted.metadata
        began_as = metadata.request_id
        if admitted.is_resumption and metadata.resumes:
            began_as = metadata.resumes
        self._key = stream_key(admitted.account_name, began_as)

    async def find_pool(self) -> PoolSpec | HttpRefusal:
        """Find what began a stream that its client resumes.

        Return the pool to use, or a refusal if the stream cannot go on, or if
        nobody knows its origin and it may be one of several.
        """
        if not self._admitted.is_resumption:
            return self._admitted.pool
        lookup = await self._look_up()
        origin = lookup.origin
        if origin is None:
            return self._pool_of_unknown(lookup)
        self._state.metrics.record_stream_lookup('found')
        self.software = origin.software
        return self._pool_of(origin)

    def record_event(self, software: str) -> None:
        """Record the version of a target whose event is sent on."""
        if not self._admitted.route.resumable or self.software is not None:
            return
        self.software = software
        pool = self._admitted.pool.name
        start = StreamStart(self._key, StreamOrigin(pool, software))
        self._state.streams.record(start, now_s())
        if self._state.view.has_several_versions(pool):
            self._state.request_sync()

    def refusal_if_gone(self) -> HttpRefusal | None:
        """Return a refusal if no target of the version is in service."""
        pool = self._admitted.pool.name
        if self.software is None or self._state.view.serves(
            pool, self.software
        ):
            return None
        return self._refuse_gone(pool)

    def _pool_of(self, origin: StreamOrigin) -> PoolSpec | HttpRefusal:
        """Return the pool of an origin, if the route still allows it."""
        if origin.pool == self._admitted.pool.name:
            return self._admitted.pool
        allowed = {split.pool for split in self._admitted.route.splits}
        index = self._state.view.index
        pool = index.pools.get(origin.pool) if index else None
        if pool is None or origin.pool not in allowed:
            return self._refuse_gone(origin.pool)
        self._admitted = self._admitted._replace(pool=pool)
        return pool

    def _pool_of_unknown(self, lookup: _Lookup) -> PoolSpec | HttpRefusal:
        """Return the pool if nothing else can have begun the stream.

        A VM whose view is old may not know of the version that began it.
        """
        view = self._state.view
        pool = self._admitted.pool
        versions = view.software_of(pool.name)
        is_only_pool = len(self._admitted.route.splits) == 1
        is_fresh = view.age(now_s()) <= MAX_VIEW_AGE_S
        is_certain = lookup.is_answered and is_fresh
        if is_certain and is_only_pool and len(versions) == 1:
            self.software = next(iter(versions))
            return pool
        self._state.metrics.record_stream_lookup('unknown')
        resumed = self._admitted.metadata.resumes or 'no request named'
        return HttpRefusal(UNAVAILABLE, f'{UNKNOWN_CODE}: {resumed}')

    def _refuse_gone(self, pool: str) -> HttpRefusal:
        self._state.metrics.record_stream_lookup('gone')
        return HttpRefusal(
            UNAVAILABLE, f'{GONE_CODE}: {self.software} of {pool}'
        )

    async def _look_up(self) -> _Lookup:
        if not self._admitted.metadata.resumes:
            return _Lookup(None, is_answered=True)  # none can be asked
        own = self._state.streams.find(self._key, now_s())
        if own is not None:
            return _Lookup(own, is_answered=True)
        lookups = self._state.lookups
        give_up_at = min(now_s() + LOOKUP_WAIT_S, self._admitted.deadline)
        lookups.begin(self._key)
        try:
            while now_s() < give_up_at:
                self._state.request_sync()
                await self._state.wait_for_update(LOOKUP_POLL_S)
                answer = lookups.answer(self._key)
                if answer:
                    return _Lookup(answer.origin, is_answered=True)
        finally:
            lookups.end(self._key)
        return _Lookup(None, is_answered=False)
