"""Records and messages about streams."""

import hashlib
from typing import Final, NamedTuple

from .._types import AccountName, RequestId, SoftwareVersion

KEY_BYTES: Final = 8

StreamKey = int


class StreamOrigin(NamedTuple):
    """What began a stream, and has to go on with it."""

    pool: str
    software: SoftwareVersion


class StreamStart(NamedTuple):
    """A stream and what began it."""

    key: StreamKey
    origin: StreamOrigin


class FoundStream(NamedTuple):
    """The answer to a lookup; ``origin`` is ``None`` if nobody knows."""

    key: StreamKey
    origin: StreamOrigin | None


class StreamCopies(NamedTuple):
    """Streams that a control VM has another one remember as well."""

    starts: tuple[StreamStart, ...]


class StreamQuery(NamedTuple):
    """Asks another control VM for streams that this one does not know."""

    keys: tuple[StreamKey, ...]


class StreamAnswer(NamedTuple):
    """Answers a :class:`StreamQuery`."""

    found: tuple[StreamStart, ...]
    unknown: tuple[StreamKey, ...]


def stream_key(account: AccountName | None, request_id: RequestId) -> StreamKey:
    """Return the key of a stream, which differs between client accounts.

    ``request_id`` is that of the request that brought its first event.
    """
    text = f'{account or ""}\0{request_id}'.encode()
    digest = hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, signed=True)
