"""Which requests an entry VM still takes while it shuts down."""

from typing import Final, NamedTuple

# The load balancer goes on sending new connections for about as long.
TAKE_ALL_S: Final = 2.5


class DrainWindow(NamedTuple):
    """The time from the signal to stop until all requests are answered."""

    started_at: float  # s
    ends_at: float  # s

    def accepts(self, deadline: float, now: float) -> bool:
        """Return whether a request that ends by ``deadline`` is taken.

        A late one could not be finished, and its caller is better off with
        another VM.
        """
        is_early = now - self.started_at <= TAKE_ALL_S
        return is_early or deadline <= self.ends_at
