"""Dispatches messages between VMs to the controllers that handle them."""

from ._components import NodeComponents
from ._messages import (
    AppendEntries,
    AppendReply,
    Heartbeat,
    InstallSnapshot,
    LeaseAsk,
    LeaseRelease,
    LeaseReply,
    PeerMessage,
    ProposalDone,
    Propose,
    Publish,
    ReplicaHello,
    RunningAsk,
    RunningReply,
    ShareAsk,
    ShareGrant,
    Summaries,
    TargetNews,
    TicketAsk,
    TicketClosed,
    TicketGrant,
    TicketRefuse,
    TicketReturn,
    TokenAsk,
    TokenGrant,
    TokenSettle,
    VmHello,
    VoteAsk,
    VoteReply,
)
from ._types import VmName


class Inbox:
    """Dispatches incoming messages by type."""

    def __init__(self, components: NodeComponents) -> None:
        self._components = components

    def receive(
        self,
        sender: VmName,
        message: PeerMessage,
        now: float,
    ) -> None:
        """Handle a message from a VM, which may be this one."""
        components = self._components
        dispatcher = components.requests.dispatcher
        match message:
            case TicketAsk():
                components.owner.on_ask(sender, message, now)
            case TicketReturn():
                components.owner.on_return(sender, message, now)
            case TicketGrant():
                dispatcher.on_grant(sender, message, now)
            case TicketRefuse():
                dispatcher.on_refuse(message, now)
            case TicketClosed():
                dispatcher.calls.on_closed(message, now)
            case RunningAsk():
                dispatcher.attempts.on_running_ask(sender, message)
            case RunningReply():
                components.owner.on_running_reply(sender, message, now)
            case TokenAsk():
                components.rates.on_ask(sender, message, now)
            case TokenGrant():
                components.rates.on_grant(sender, message, now)
            case TokenSettle():
                components.rates.on_settle(sender, message, now)
            case _:
                self._receive_state(sender, message, now)

    def _receive_state(
        self,
        sender: VmName,
        message: PeerMessage,
        now: float,
    ) -> None:
        components = self._components
        match message:
            case Heartbeat():
                if components.agreement.on_heartbeat(sender, message, now):
                    components.owner.on_vm_restarted(sender, message.boot, now)
            case Summaries(summaries, loads):
                components.directory.update_loads(sender, loads, now)
                for summary in summaries:
                    components.directory.update_summary(sender, summary, now)
            case TargetNews(facts):
                components.update_target_facts(facts, now)
            case Publish():
                if components.agreement.on_publish(message, now):
                    components.on_published_changed(now)
            case LeaseAsk():
                components.ownership.on_ask(sender, message, now)
            case LeaseReply():
                components.ownership.on_reply(sender, message, now)
            case LeaseRelease():
                components.ownership.on_release(sender, message)
            case _:
                self._receive_agreement(sender, message, now)

    def _receive_agreement(
        self,
        sender: VmName,
        message: PeerMessage,
        now: float,
    ) -> None:
        agreement = self._components.agreement
        match message:
            case (
                VoteAsk()
                | VoteReply()
                | AppendEntries()
                | AppendReply()
                | InstallSnapshot()
                | ReplicaHello()
            ):
                if agreement.replica:
                    agreement.replica.receive(sender, message, now)
            case Propose():
                agreement.proposals.on_propose(sender, message, now)
            case ProposalDone():
                agreement.proposals.on_done(message, now)
            case ShareAsk():
                if agreement.leader:
                    agreement.leader.on_share_ask(sender, message, now)
            case ShareGrant():
                self._components.share.on_grant(message, now)
            case VmHello():
                agreement.on_hello(message)
