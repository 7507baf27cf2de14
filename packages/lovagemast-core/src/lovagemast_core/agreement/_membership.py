"""Heartbeats between VMs: who is alive and what each one knows."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from .._messages import Heartbeat
from .._outbox import Outbox
from .._types import VmName

HEARTBEAT_S: Final = 0.5
ALIVE_S: Final = 1.8  # silence after which a VM counts as dead


class PeerView(NamedTuple):
    """The last heartbeat of a VM, and when it came."""

    received_at: float  # s
    heartbeat: Heartbeat


class Membership:
    """Sends and keeps heartbeats."""

    def __init__(
        self,
        outbox: Outbox,
        compose: Callable[[float], Heartbeat],
        peers: Callable[[], Iterable[VmName]],
        now: float,
    ) -> None:
        self.views: dict[VmName, PeerView] = {}
        self._outbox = outbox
        self._compose = compose
        self._peers = peers
        outbox.call_at(now, self._beat)

    def note(self, sender: VmName, heartbeat: Heartbeat, now: float) -> bool:
        """Keep a heartbeat; return whether the VM has restarted."""
        known = self.views.get(sender)
        if known and heartbeat.boot < known.heartbeat.boot:
            return False
        self.views[sender] = PeerView(now, heartbeat)
        return bool(known and heartbeat.boot > known.heartbeat.boot)

    def is_alive(self, vm: VmName, now: float) -> bool:
        """Return whether a VM has been heard of lately."""
        if vm == self._outbox.vm:
            return True
        view = self.views.get(vm)
        return view is not None and now - view.received_at <= ALIVE_S

    def is_draining(self, vm: VmName) -> bool:
        """Return whether a VM says that it is about to stop."""
        view = self.views.get(vm)
        return view is not None and view.heartbeat.draining

    def alive_peers(self, now: float) -> list[VmName]:
        """Return the other VMs that are alive, in a stable order."""
        return [vm for vm in sorted(self.views) if self.is_alive(vm, now)]

    def forget(self, vm: VmName) -> None:
        """Drop a VM that is no longer on the roster."""
        self.views.pop(vm, None)

    def send_heartbeat(self, now: float) -> None:
        """Send a heartbeat to all peers out of turn."""
        heartbeat = self._compose(now)
        for vm in self._peers():
            self._outbox.send(vm, heartbeat)

    def _beat(self, now: float) -> None:
        self.send_heartbeat(now)
        self._outbox.call_at(now + HEARTBEAT_S, self._beat)
