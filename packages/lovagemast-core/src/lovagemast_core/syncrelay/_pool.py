"""Tokens of one account that a relay has received and not granted yet."""

from typing import Final

POOL_TTL_S: Final = 1.0


class TokenPool:
    """Lots of tokens with the times at which they were received."""

    def __init__(self) -> None:
        self._lots: list[tuple[float, float]] = []  # received at, tokens

    def add(self, tokens: float, received_at: float) -> None:
        """Add a lot."""
        self._lots.append((received_at, tokens))

    def total(self, now: float) -> float:
        """Return the tokens that have not expired."""
        if not self._lots:
            return 0.0
        self._lots = [
            lot
            for lot in self._lots
            if now - lot[0] < POOL_TTL_S and lot[1] > 0
        ]
        return sum(tokens for _received_at, tokens in self._lots)

    def age_s(self, now: float) -> float:
        """Return the age of the oldest lot."""
        oldest = min((lot[0] for lot in self._lots), default=now)
        return now - oldest

    def take(self, wanted: float, now: float) -> float:
        """Remove up to ``wanted`` tokens, and return how many."""
        taken = min(wanted, self.total(now))
        remaining = taken
        while remaining > 0 and self._lots:
            received_at, tokens = self._lots.pop(0)
            if tokens > remaining:
                self._lots.insert(0, (received_at, tokens - remaining))
            remaining -= tokens
        return taken
