"""The replicated claims of calls that may be executed once."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from ._commands import AlreadyClaimed, ClaimCall, Claimed, FinishCall, Outcome

CLAIM_RETENTION_S: Final = 86_400.0


class Claim(NamedTuple):
    """The claim of a non-idempotent call, and how the call ended.

    ``status`` is 0 while the outcome is not known.
    """

    claim: str
    fingerprint: str
    holder: str
    at: float  # s
    status: int = 0
    media_type: str = ''
    body: bytes = b''


class ClaimTable:
    """Claims by their names, oldest first."""

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}

    def claim(self, command: ClaimCall) -> Outcome:
        """Claim a call for its holder, unless another one has it."""
        self._expire(command.at)
        known = self._claims.get(command.claim)
        if known is None:
            self._claims[command.claim] = Claim(*command)
            return Claimed(command.claim)
        if known.holder == command.holder:
            return Claimed(command.claim)
        return AlreadyClaimed(
            known.claim,
            known.fingerprint == command.fingerprint,
            known.status,
            known.media_type,
            known.body,
        )

    def finish(self, command: FinishCall) -> None:
        """Store how a call ended; release it if it has not run."""
        known = self._claims.get(command.claim)
        if known is None or known.holder != command.holder:
            return
        if command.status:
            self._claims[command.claim] = known._replace(
                status=command.status,
                media_type=command.media_type,
                body=command.body,
            )
        else:
            self._claims.pop(command.claim)

    def to_snapshot(self) -> tuple[Claim, ...]:
        """Return all claims."""
        return tuple(self._claims.values())

    def restore(self, claims: Iterable[Claim]) -> None:
        """Replace all claims."""
        self._claims = {claim.claim: claim for claim in claims}

    def _expire(self, now: float) -> None:
        while self._claims:
            oldest = next(iter(self._claims.values()))
            if now - oldest.at <= CLAIM_RETENTION_S:
                return
            self._claims.pop(oldest.claim)
