"""A VM of the fleet: all controllers behind one event handler."""

import random
from typing import Final

from ._commands import ApplyConfig, Outcome, RemoveVm
from ._components import NodeComponents
from ._config import NodeConfig
from ._effects import Effect, ReplyToOperator
from ._events import (
    CallChunk,
    CallEnded,
    CallerDisconnected,
    CallFailed,
    CallStarted,
    ConfigChangeRequested,
    DrainRequested,
    Event,
    LogSynced,
    OrderAnswered,
    PeerReceived,
    RequestArrived,
    TargetAnnounced,
    TargetProbed,
    Tick,
    VmRemovalRequested,
)
from ._inbox import Inbox
from ._state import PublishedState
from ._status import Status, read_status
from ._types import Reason, Refusal, VmName
from .agreement._replicastate import ReplicaStatus
from .fleet._fleet import PoolKind

OPERATOR_COMMAND_TIMEOUT_S: Final = 5.0


class Node:
    """Handles one event at a time and returns the effects for the host."""

    def __init__(self, cfg: NodeConfig, rng: random.Random) -> None:
        self._vm = cfg.entry.vm
        self._components = NodeComponents(cfg, rng)
        self._outbox = self._components.outbox
        self._inbox = Inbox(self._components)
        self._calls = self._components.requests.dispatcher.calls

    @classmethod
    def from_config(cls, cfg: NodeConfig, rng: random.Random) -> 'Node':
        """Create a node at start-up."""
        return cls(cfg, rng)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event and return the effects to carry out in order.

        A chunk of a response affects only its own request. Due timers and
        local messages are left to the next event or ``Tick``.
        """
        if isinstance(event, CallChunk):
            self._calls.on_chunk(*event, now)
            return self._outbox.take_effects()
        self._run_timers(now)
        self._dispatch(event, now)
        self._handle_local_messages(now)
        self._run_timers(now)
        return self._outbox.take_effects()

    def next_deadline(self) -> float | None:
        """Return when the node needs the next ``Tick`` at the latest."""
        return self._outbox.next_deadline()

    @property
    def published(self) -> PublishedState:
        """Return the published state in force at this VM."""
        return self._components.published.state

    def addresses(self) -> dict[VmName, str]:
        """Return the addresses of the other VMs."""
        return self._components.agreement.addresses()

    def is_ready(self, now: float) -> bool:
        """Return whether load balancers should send requests to this VM."""
        return self._components.is_ready()

    def is_drained(self, now: float) -> bool:
        """Return whether the VM is drained and may stop."""
        return self._components.requests.is_drained(now)

    def replica_status(self) -> ReplicaStatus | None:
        """Return the replica's status, ``None`` if this is no control VM."""
        replica = self._components.agreement.replica
        return replica.status() if replica else None

    def is_engine_path(self, path: str) -> bool:
        """Return whether a path is routed to engines."""
        index = self._components.published.index
        routes = index.routes_of(path)
        if not routes:
            return False
        return index.pools[routes[0].pool].kind is PoolKind.ENGINE

    def models(self, key_digest: str) -> tuple[str, ...] | Refusal:
        """Return the loaded models that the account of a key may use."""
        index = self._components.published.index
        account = index.accounts.get(index.account_of(key_digest) or '')
        if account is None:
            return Refusal(Reason.KEY_UNKNOWN, 'the key is not valid')
        loaded: set[str] = set()
        for pool in index.pools.values():
            for known in self._components.directory.in_pool(pool.name):
                loaded.update(
                    f'{pool.base}:{label}'
                    for label in known.adapters
                    if account.may_use(label.partition('@')[0])
                )
        return tuple(sorted(loaded))

    def status(self, now: float) -> Status:
        """Return the fleet status as seen by this VM."""
        components = self._components
        return read_status(
            self._vm,
            components.agreement,
            components.directory,
            share=components.share.fraction(now),
            requests=len(components.requests),
            now=now,
        )

    def _run_timers(self, now: float) -> None:
        callback = self._outbox.pop_due(now)
        while callback:
            callback(now)
            self._handle_local_messages(now)
            callback = self._outbox.pop_due(now)

    def _handle_local_messages(self, now: float) -> None:
        while self._outbox.local:
            message = self._outbox.local.popleft()
            self._inbox.receive(self._vm, message, now)
        if self._components.agreement.publish_applied(now):
            self._components.on_published_changed(now)

    def _dispatch(self, event: Event, now: float) -> None:
        match event:
            case Tick():
                return
            case PeerReceived(sender, message):
                self._inbox.receive(sender, message, now)
            case RequestArrived(req):
                self._components.requests.on_arrived(req, now)
            case CallStarted(attempt, status, media_type):
                self._calls.on_started(attempt, status, media_type, now)
            case CallEnded(attempt):
                self._calls.on_ended(attempt, now)
            case CallFailed(attempt, failure, detail):
                self._calls.on_failed(attempt, failure, detail, now)
            case CallerDisconnected(request):
                self._components.requests.on_caller_disconnected(request, now)
            case _:
                self._dispatch_control(event, now)

    def _dispatch_control(self, event: Event, now: float) -> None:
        components = self._components
        match event:
            case LogSynced(batch):
                if components.agreement.replica:
                    components.agreement.replica.on_log_synced(batch, now)
            case TargetAnnounced(facts):
                components.on_target_announced(facts, now)
            case TargetProbed():
                components.owner.on_probed(event, now)
            case OrderAnswered():
                components.owner.on_order_answered(event, now)
            case ConfigChangeRequested(operation, op_id, expected, document):
                command = ApplyConfig(op_id, expected, document)
                self._propose(operation, command, now)
            case VmRemovalRequested(operation, vm):
                self._propose(operation, RemoveVm(vm), now)
            case DrainRequested():
                components.requests.start_drain(now)
                components.update_draining(now)

    def _propose(
        self,
        operation: str,
        command: ApplyConfig | RemoveVm,
        now: float,
    ) -> None:
        def reply(outcome: Outcome, _when: float) -> None:
            self._outbox.emit(ReplyToOperator(operation, outcome))

        self._components.agreement.proposals.propose(
            command,
            reply,
            timeout_s=OPERATOR_COMMAND_TIMEOUT_S,
            now=now,
        )
