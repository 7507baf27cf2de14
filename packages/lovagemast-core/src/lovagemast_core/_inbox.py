"""Hands each message from another VM to the part that it is for."""

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
from ._parts import NodeParts
from ._types import VmName


class Inbox:
    """Routes messages by their kind."""

    def __init__(self, parts: NodeParts) -> None:
        self._parts = parts

    def receive(
        self,
        sender: VmName,
        message: PeerMessage,
        now: float,
    ) -> None:
        """Take one message."""
        parts = self._parts
        dispatcher = parts.requests.dispatcher
        match message:
            case TicketAsk():
                parts.owner.on_ask(sender, message, now)
            case TicketReturn():
                parts.owner.on_return(sender, message, now)
            case TicketGrant():
                dispatcher.on_grant(sender, message, now)
            case TicketRefuse():
                dispatcher.on_refuse(message, now)
            case TicketClosed():
                dispatcher.answers.on_closed(message, now)
            case RunningAsk():
                dispatcher.book.on_running_ask(sender, message)
            case RunningReply():
                parts.owner.on_running_reply(sender, message, now)
            case TokenAsk():
                parts.rates.on_ask(sender, message, now)
            case TokenGrant():
                parts.rates.on_grant(sender, message, now)
            case TokenSettle():
                parts.rates.on_settle(sender, message, now)
            case _:
                self._receive_knowledge(sender, message, now)

    def _receive_knowledge(
        self,
        sender: VmName,
        message: PeerMessage,
        now: float,
    ) -> None:
        parts = self._parts
        match message:
            case Heartbeat():
                if parts.agreement.on_heartbeat(sender, message, now):
                    parts.owner.vm_restarted(sender, message.boot, now)
            case Summaries(summaries, loads):
                parts.directory.update_loads(sender, loads, now)
                for summary in summaries:
                    parts.directory.update_summary(sender, summary, now)
            case TargetNews(facts):
                parts.learn_target(facts, now)
            case Publish():
                if parts.agreement.on_publish(message, now):
                    parts.published_changed(now)
            case LeaseAsk():
                parts.ownership.on_ask(sender, message, now)
            case LeaseReply():
                parts.ownership.on_reply(sender, message, now)
            case LeaseRelease():
                parts.ownership.on_release(sender, message)
            case _:
                self._receive_agreement(sender, message, now)

    def _receive_agreement(
        self,
        sender: VmName,
        message: PeerMessage,
        now: float,
    ) -> None:
        agreement = self._parts.agreement
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
                self._parts.share.on_grant(message, now)
            case VmHello():
                agreement.on_hello(message)
