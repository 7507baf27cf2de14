"""Names of what may be quarantined: prompt parts and whole requests."""

import hashlib
from typing import Final, NamedTuple

from .._types import AccountName, Subject

# Ids of prompt parts contain no colon.
REQUEST_PREFIX: Final = 'request:'
DIGEST_BYTES: Final = 12


class RequestIdentity(NamedTuple):
    """What a request has in common with its repeats.

    Its id, its deadline and other headers are new with each repeat.
    """

    method: str
    host: str
    target: str  # path and query
    account: AccountName | None
    body: bytes

    @property
    def subject(self) -> Subject:
        """Return the name of the request in quarantine records."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        head = (self.method, self.host, self.target, self.account or '')
        for text in head:
            data = text.encode()
            digest.update(b'%d:' % len(data))
            digest.update(data)
        digest.update(self.body)
        return REQUEST_PREFIX + digest.hexdigest()


def is_request(subject: Subject) -> bool:
    """Return whether a subject is a whole request, not a prompt part."""
    return subject.startswith(REQUEST_PREFIX)
