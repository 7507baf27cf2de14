"""Failure detection by heartbeats between VMs."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from .._messages import Heartbeat
from .._outbox import Outbox
from .._types import VmName

HEARTBEAT_INTERVAL_S: Final = 0.5
PEER_TIMEOUT_S: Final = 1.8  # without heartbeats, until a VM counts as down


class PeerView(NamedTuple):
    """The newest heartbeat of a VM and when it was received."""

    received_at: float  # s
    heartbeat: Heartbeat


class Membership:
    """Sends heartbeats to all peers and keeps the newest of each of them."""

    def __init__(
        self,
        outbox: Outbox,
        build_heartbeat: Callable[[float], Heartbeat],
        peers: Callable[[], Iterable[VmName]],
        now: float,
    ) -> None:
        self.views: dict[VmName, PeerView] = {}
        self._outbox = outbox
        self._build_heartbeat = build_heartbeat
        self._peers = peers
        outbox.call_at(now, self._send_periodically)

    def record_heartbeat(
        self, sender: VmName, heartbeat: Heartbeat, now: float
    ) -> bool:
        """Record a heartbeat; return whether its sender has restarted.

        Heartbeats of an earlier boot are ignored.
        """
        known = self.views.get(sender)
        if known and heartbeat.boot < known.heartbeat.boot:
            return False
        self.views[sender] = PeerView(now, heartbeat)
        return bool(known and heartbeat.boot > known.heartbeat.boot)

    def is_alive(self, vm: VmName, now: float) -> bool:
        """Return whether a VM is this one or has sent a recent heartbeat."""
        if vm == self._outbox.vm:
            return True
        view = self.views.get(vm)
        return view is not None and now - view.received_at <= PEER_TIMEOUT_S

    def is_draining(self, vm: VmName) -> bool:
        """Return whether a VM's newest heartbeat announces that it drains."""
        view = self.views.get(vm)
        return view is not None and view.heartbeat.draining

    def alive_peers(self, now: float) -> list[VmName]:
        """Return the other VMs that are alive, sorted by name."""
        return [vm for vm in sorted(self.views) if self.is_alive(vm, now)]

    def remove(self, vm: VmName) -> None:
        """Forget a VM that has left the roster."""
        self.views.pop(vm, None)

    def send_heartbeat(self, now: float) -> None:
        """Send a heartbeat to all peers at once."""
        heartbeat = self._build_heartbeat(now)
        for vm in self._peers():
            self._outbox.send(vm, heartbeat)

    def _send_periodically(self, now: float) -> None:
        self.send_heartbeat(now)
        self._outbox.call_at(
            now + HEARTBEAT_INTERVAL_S, self._send_periodically
        )
