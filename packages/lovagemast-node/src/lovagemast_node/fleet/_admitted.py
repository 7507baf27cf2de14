"""A request that passed the admission checks."""

from typing import Final, NamedTuple

from lovagemast_core.deployment import AccountSpec, PoolSpec, RouteSpec
from lovagemast_core.quarantine import RequestIdentity, Subject

from ..http import HttpRequest
from ._codec import RequestMetadata

# Ahead of all other requests: the caller holds a part of the answer.
RESUMPTION_PRIORITY: Final = -1
# The wait of a resumed stream for tokens or a target, of its timeout.
RESUMPTION_WAIT_FRACTION: Final = 0.25


class AdmittedRequest(NamedTuple):
    """A request that passed all checks.

    ``arrived_at`` and ``deadline`` are clock readings in seconds.
    """

    req: HttpRequest
    metadata: RequestMetadata
    route: RouteSpec
    pool: PoolSpec
    account: AccountSpec | None
    arrived_at: float
    deadline: float
    cost: float = 0.0  # charged to the account, in its quota unit
    subjects: tuple[Subject, ...] = ()  # that may be quarantined

    @property
    def account_name(self) -> str | None:
        """Return the client account, ``None`` on public routes."""
        return self.account.name if self.account else None

    @property
    def is_resumption(self) -> bool:
        """Return whether the caller goes on with a stream that broke off."""
        return self.route.resumable and bool(self.metadata.last_event_id)

    @property
    def queue_priority(self) -> int:
        """Return the rank among waiting requests; resumed streams lead."""
        return RESUMPTION_PRIORITY if self.is_resumption else self.priority

    @property
    def priority(self) -> int:
        """Return the account's priority if it has one, else the route's."""
        if self.account and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def subjects_of(
    req: HttpRequest,
    host: str,
    account: AccountSpec | None,
    metadata: RequestMetadata,
) -> tuple[Subject, ...]:
    """Return what may be quarantined of a request, the whole of it last."""
    name = account.name if account else None
    identity = RequestIdentity(
        req.method, host, req.request_target, name, req.body
    )
    return (*metadata.parts, identity.subject)
