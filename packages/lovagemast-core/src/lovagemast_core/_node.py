"""One VM of the fleet: all controllers behind one event handler."""

import random
from typing import Final

from ._commands import ApplyConfig, Outcome, RemoveVm
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
from ._parts import NodeParts
from ._state import PublishedState
from ._status import Status, read_status
from ._types import Reason, Refusal, VmName
from .agreement._replicastate import ReplicaStatus
from .fleet._fleet import PoolKind

OPERATOR_TIMEOUT_S: Final = 5.0


class Node:
    """Handles events one at a time and returns what the host is to do."""

    def __init__(self, cfg: NodeConfig, rng: random.Random) -> None:
        self._vm = cfg.entry.vm
        self._parts = NodeParts(cfg, rng)
        self._outbox = self._parts.outbox
        self._inbox = Inbox(self._parts)
        self._answers = self._parts.requests.dispatcher.answers

    @classmethod
    def from_config(cls, cfg: NodeConfig, rng: random.Random) -> 'Node':
        """Return a node that has just started."""
        return cls(cfg, rng)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take an event and return the effects, to be done in order.

        A part of an answer touches its own request only; everything else
        waits for the next event or ``Tick``.
        """
        if isinstance(event, CallChunk):
            self._answers.on_chunk(*event, now)
            return self._outbox.take_effects()
        self._run_timers(now)
        self._dispatch(event, now)
        self._run_local(now)
        self._run_timers(now)
        return self._outbox.take_effects()

    def next_deadline(self) -> float | None:
        """Return when the node wants a ``Tick`` at the latest."""
        return self._outbox.next_deadline()

    @property
    def published(self) -> PublishedState:
        """Return the published state in force at this VM."""
        return self._parts.published.state

    def addresses(self) -> dict[VmName, str]:
        """Return where the other VMs listen."""
        return self._parts.agreement.addresses()

    def is_ready(self, now: float) -> bool:
        """Return whether the platform should send requests here."""
        return self._parts.is_ready()

    def is_drained(self, now: float) -> bool:
        """Return whether the VM may stop: nothing runs or will come."""
        return self._parts.requests.is_drained(now)

    def replica_status(self) -> ReplicaStatus | None:
        """Return the state of the replica, ``None`` on other VMs."""
        replica = self._parts.agreement.replica
        return replica.status() if replica else None

    def is_engine_path(self, path: str) -> bool:
        """Return whether engines serve a path, by the routes in force."""
        index = self._parts.published.index
        routes = index.routes_of(path)
        if not routes:
            return False
        return index.pools[routes[0].pool].kind is PoolKind.ENGINE

    def models(self, key_digest: str) -> tuple[str, ...] | Refusal:
        """Return the loaded models that the holder of a key may use."""
        index = self._parts.published.index
        account = index.accounts.get(index.account_of(key_digest) or '')
        if account is None:
            return Refusal(Reason.KEY_UNKNOWN, 'the key is not valid')
        loaded: set[str] = set()
        for pool in index.pools.values():
            for known in self._parts.directory.in_pool(pool.name):
                loaded.update(
                    f'{pool.base}:{label}'
                    for label in known.adapters
                    if account.may_use(label.partition('@')[0])
                )
        return tuple(sorted(loaded))

    def status(self, now: float) -> Status:
        """Return the fleet as this VM sees it."""
        parts = self._parts
        return read_status(
            self._vm,
            parts.agreement,
            parts.directory,
            share=parts.share.fraction(now),
            requests=len(parts.requests),
            now=now,
        )

    def _run_timers(self, now: float) -> None:
        callback = self._outbox.pop_due(now)
        while callback:
            callback(now)
            self._run_local(now)
            callback = self._outbox.pop_due(now)

    def _run_local(self, now: float) -> None:
        while self._outbox.local:
            message = self._outbox.local.popleft()
            self._inbox.receive(self._vm, message, now)
        if self._parts.agreement.publish_applied(now):
            self._parts.published_changed(now)

    def _dispatch(self, event: Event, now: float) -> None:
        match event:
            case Tick():
                return
            case PeerReceived(sender, message):
                self._inbox.receive(sender, message, now)
            case RequestArrived(req):
                self._parts.requests.on_arrived(req, now)
            case CallStarted(attempt, status, media_type):
                self._answers.on_started(attempt, status, media_type, now)
            case CallEnded(attempt):
                self._answers.on_ended(attempt, now)
            case CallFailed(attempt, failure, detail):
                self._answers.on_failed(attempt, failure, detail, now)
            case CallerDisconnected(request):
                self._parts.requests.on_caller_gone(request, now)
            case _:
                self._dispatch_rest(event, now)

    def _dispatch_rest(self, event: Event, now: float) -> None:
        parts = self._parts
        match event:
            case LogSynced(batch):
                if parts.agreement.replica:
                    parts.agreement.replica.on_log_synced(batch, now)
            case TargetAnnounced(facts):
                parts.announce(facts, now)
            case TargetProbed():
                parts.owner.on_probed(event, now)
            case OrderAnswered():
                parts.owner.on_order_answered(event, now)
            case ConfigChangeRequested(operation, op_id, expected, document):
                command = ApplyConfig(op_id, expected, document)
                self._propose(operation, command, now)
            case VmRemovalRequested(operation, vm):
                self._propose(operation, RemoveVm(vm), now)
            case DrainRequested():
                parts.requests.drain(now)
                parts.follow_draining(now)

    def _propose(
        self,
        operation: str,
        command: ApplyConfig | RemoveVm,
        now: float,
    ) -> None:
        def answer(outcome: Outcome, _when: float) -> None:
            self._outbox.emit(ReplyToOperator(operation, outcome))

        self._parts.agreement.proposals.propose(
            command,
            answer,
            timeout_s=OPERATOR_TIMEOUT_S,
            now=now,
        )
