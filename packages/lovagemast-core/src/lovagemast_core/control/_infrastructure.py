"""Both sides of the calls to the infrastructure: the leader and the holder."""

from collections.abc import Callable

from .._messages import RelayHello
from .._outbox import Outbox
from .._types import VmName
from ..agreement._replica import Replica
from ..duties import (
    CallDone,
    CallReceiver,
    DutyController,
    DutyState,
    HandedCall,
    send_by,
)
from ..targets import SyncAsk, SyncReply
from ._config import ControlConfig
from ._effects import CallInfrastructure, ControlEffect, DutiesChanged
from ._fleet import FleetController
from ._scaling import TargetScaling


class InfrastructureDuties:
    """Connects the control of the duties to the replica and the messages.

    Without a configuration it does nothing, apart from keeping the replicated
    state of a fleet whose other control VMs have one.
    """

    def __init__(
        self,
        cfg: ControlConfig,
        replica: Replica,
        fleet: FleetController,
        outbox: Outbox,
        emit: Callable[[ControlEffect], None],
    ) -> None:
        self.controller: DutyController | None = None
        if cfg.duties:
            self.controller = DutyController(cfg.vm, cfg.duties)
        self._vm = cfg.vm
        self._replica = replica
        self._outbox = outbox
        self._emit = emit
        self._receiver = CallReceiver()
        self._scaling = TargetScaling(fleet, emit)
        self._last_state = DutyState()

    def hello(self, now: float) -> RelayHello:
        """Return what tells the leader that this VM can send for it."""
        return RelayHello(now, has_duties=self.controller is not None)

    def start_term(self, term: int, now: float) -> None:
        """Forget what was learned in an earlier term."""
        if self.controller:
            self.controller.start_term(term, now)

    def check_state(self, now: float) -> None:
        """Take over and report what is committed."""
        committed = self._replica.state_machine.duties
        if committed is self._last_state:
            return
        before = self._last_state
        self._last_state = committed
        if self.controller:
            self.controller.update(committed, now)
        self._emit(DutiesChanged(before, committed))

    def on_hello(self, vm: VmName, hello: RelayHello, now: float) -> None:
        """Record that a VM can call the infrastructure for this leader."""
        if self.controller and hello.has_duties:
            self.controller.on_hello(vm, hello.clock, now)

    def on_ask(self, ask: SyncAsk, reply: SyncReply, now: float) -> SyncReply:
        """Handle a relay's counts, and add the time to the reply."""
        controller = self.controller
        if controller is None:
            return reply
        controller.on_usage(ask.vm, ask.usage, ask.utc_s, now)
        return reply._replace(
            utc_s=controller.utc(now) or 0.0,
            usage_floor=controller.state.last_window,
        )

    def step(self, now: float, *, has_lease: bool) -> None:
        """Commit and hand over what is due, while this VM leads."""
        controller = self.controller
        if controller is None:
            return
        controller.on_hello(self._vm, now, now)
        self._scaling.step(controller, now)
        voters = len(self._replica.voter_vms)
        for command in controller.commands(voters, now):
            self._replica.propose(command, now)
        self._hand_over(now, has_lease=has_lease)

    def on_called(self, done: CallDone) -> None:
        """Return the outcome of a call that this VM has sent."""
        requester = self._receiver.pop_requester(done)
        self._outbox.send(requester, done)

    def receive(
        self, sender: VmName, message: HandedCall | CallDone, now: float
    ) -> None:
        """Handle a message about a call."""
        if isinstance(message, HandedCall):
            self._on_handed(sender, message, now)
        elif self.controller and self._replica.is_leader():
            self.controller.on_done(sender, message, now)

    def _on_handed(
        self, sender: VmName, handed: HandedCall, now: float
    ) -> None:
        """Send a call for the leader, unless it is too old."""
        if self.controller is None:
            return
        refused = self._receiver.accept(sender, handed, self._replica.term, now)
        if refused:
            self._outbox.send(sender, refused)
        else:
            self._emit(CallInfrastructure(handed, send_by(handed)))

    def _hand_over(self, now: float, *, has_lease: bool) -> None:
        controller = self.controller
        handed = controller.next_call(now) if controller and has_lease else None
        if handed:
            self._outbox.send(self._last_state.holder, handed)
