"""A relay: serves entry VMs from what the leader last sent it.

The leader's work does not grow with the number of entry VMs, since it serves
only relays. A relay that has lost the leader goes on serving what it knows;
the age that it reports grows, and entry VMs decide by that age what they may
still do. It never extends that age: an entry VM adds the time since its own
request was sent to the age of the relay's information.
"""

from itertools import chain
from typing import Final

from .._types import VmName, ZoneName
from ..adapters import AdapterLabel
from ..duties import UsageExchange
from ..entry import FleetView
from ..quarantine import QuarantineReports, TrialWish
from ..streams import StreamDirectory
from ..targetlimits import LimitExchange, LimitNews
from ..targets import EntryPeer, LimitReport, SyncAsk, SyncReply
from ._entries import ConnectedEntries, EntryLink
from ._loads import RelayedLoads
from ._peeroffers import PeerOffers, peers_for, rotate
from ._published import RelayedState
from ._records import RelayedRecords
from ._rollout import RolloutTracker
from ._tokens import TokenSplitter

# Changes that no request waits for are sent with the next reply, or pushed
# after this time. It is longer than the interval of idle requests.
PUSH_DELAY_S: Final = 0.25
USES_INTERVAL_S: Final = 0.1  # between reports of running requests
NO_AGE_S: Final = 1e9  # of a relay that has heard of no leader
NEVER: Final = float('inf')


class SyncRelay:
    """Sums the requests of entry VMs and splits the leader's replies.

    ``epoch`` names the sequence of this relay's stamps; it must differ from
    those of other relays and of earlier incarnations of this one.
    """

    def __init__(self, vm: VmName, zone: ZoneName, epoch: int) -> None:
        self.view = FleetView()
        self.streams = StreamDirectory(vm, zone)
        self._vm = vm
        self._zone = zone
        self._epoch = epoch
        self._records = RelayedRecords()
        self._loads = RelayedLoads()
        self._entries = ConnectedEntries()
        self._tokens = TokenSplitter()
        self._sends = TokenSplitter()  # for requests to limited targets
        self._limits = LimitExchange()
        self._tolerances = LimitExchange()  # of rejections
        self._reports = QuarantineReports()
        self._trials: dict[TrialWish, None] = {}
        self._peers = PeerOffers()  # of other relays
        self._usage = UsageExchange()  # of entry VMs
        self.state = RelayedState(self.view)
        self._uses_sent_at = float('-inf')
        self.rollouts = RolloutTracker(self.view, self._entries)

    def build_ask(self, number: int, now: float, utc_s: float = 0.0) -> SyncAsk:
        """Return the next sync request to the leader.

        ``utc_s`` is the VM's steady clock, 0 without duties.
        """
        self._drop_silent(now)
        has_uses = now - self._uses_sent_at >= USES_INTERVAL_S
        if has_uses:
            self._uses_sent_at = now
        return SyncAsk(
            number,
            self._vm,
            self._zone,
            self.view.published.version,
            self.view.stamp_to_ask(now),
            self.view.epoch,
            self._tokens.total_wishes(now),
            self._entries.take_wishes(),
            self._entries.total_uses() if has_uses else (),
            missing=self._entries.take_missing(),
            shut=self._entries.unreachable(),
            entries=len(self._entries),
            has_uses=has_uses,
            quarantine=self.view.quarantine.version,
            crashes=self._reports.crashes(number),
            answered=self._reports.answered(number),
            trials=self._take_trials(),
            limits=self._limits.reports(number, now),
            limit_stamp=self._limits.server_stamp,
            tolerances=self._tolerances.reports(number, now),
            tolerance_stamp=self._tolerances.server_stamp,
            sends=self._sends.total_wishes(now),
            wants_peers=self._entries.want_peers(),
            peers=rotate(self._entries.peers(), number),
            usage=self._usage.reports(number, now),
            utc_s=utc_s,
            revision=self.view.documents.revision,
            reads_parts=True,
            document=self.view.documents.wish(),
        )

    def on_reply(self, reply: SyncReply, asked_at: float, now: float) -> None:
        """Apply the leader's reply to the request sent at ``asked_at``."""
        self.view.apply(reply, asked_at, now)
        self.state.update()
        self._apply_reports(reply, asked_at, now)
        self._note_adapters(self._records.update(self.view.targets))
        self._loads.update(reply.loads)
        self._peers.add(reply.peers, now)
        if reply.removed or reply.is_complete:
            self._loads.remove(set(self.view.targets))
            self._limits.known.retain(self.view.targets, now)
            self._tolerances.known.retain(self.view.targets, now)
        if reply.lots or reply.send_lots:
            self._tokens.add(reply.lots, now)
            self._sends.add(reply.send_lots, now)
            self._grant_tokens(now)

    def on_ask(self, session: int, ask: SyncAsk, now: float) -> SyncReply:
        """Handle an entry VM's request and return the reply.

        ``session`` differs for each stream. What was granted on an earlier
        one is lost.
        """
        if self.session_of(ask.vm) != session:
            self._remove_wishes(ask.vm)
        for text in ask.missing:
            self._records.dispute(text.partition(' ')[0])
        self._merge_reports(ask, now)
        link = self._entries.record_ask(session, ask, self._epoch, now)
        self.streams.add(ask.streams, now)
        link.found.extend(self.streams.look_up(ask.lookups, now))
        self._tokens.set_wishes(ask.vm, ask.tokens, ask.seen, now)
        self._sends.set_wishes(ask.vm, ask.sends, ask.seen, now)
        self._grant_tokens(now)
        return self._reply(ask.vm, link, now)

    def on_disconnect(self, vm: VmName, session: int) -> None:
        """Forget an entry VM whose stream has ended."""
        link = self._entries.links.get(vm)
        if link and link.session == session:
            self._entries.links.pop(vm)
            self._remove_wishes(vm)

    def needs_leader(self, ask: SyncAsk) -> bool:
        """Return whether the leader should be asked at once."""
        if ask.missing or any(wish.waiting for wish in ask.wishes):
            return True
        if ask.crashes or ask.answered or ask.trials:
            return True
        if self._limits.has_reports() or self._tolerances.has_reports():
            return True
        if ask.wants_peers:
            return True
        return self._tokens.needs_tokens() or self._sends.needs_tokens()

    def limits(self, now: float) -> tuple[LimitReport, ...]:
        """Return what targets last said of their limits."""
        return self._limits.known.changed_since(0, now)

    def pushes_due(self, now: float) -> list[VmName]:
        """Return the entry VMs to push changes to, those that wait first."""
        due = [
            (self._is_urgent(link), vm)
            for vm, link in self._entries
            if self._push_at(link) <= now
        ]
        return [vm for urgent, vm in sorted(due, reverse=True)]

    def next_push_at(self) -> float | None:
        """Return when the next push is due, ``None`` if nothing changed."""
        times = [self._push_at(link) for _vm, link in self._entries]
        return min((at for at in times if at < NEVER), default=None)

    def make_push(self, vm: VmName, now: float) -> SyncReply | None:
        """Return the push to an entry VM, ``None`` if it is gone."""
        link = self._entries.links.get(vm)
        if link is None:
            return None
        return self._reply(vm, link, now)._replace(is_push=True)

    def session_of(self, vm: VmName) -> int:
        """Return the session of an entry VM's stream, 0 if it has none."""
        link = self._entries.links.get(vm)
        return link.session if link else 0

    def _reply(self, vm: VmName, link: EntryLink, now: float) -> SyncReply:
        view = self.view
        if not view.term:
            return SyncReply(link.ask.ask, False, '', 0, NO_AGE_S)
        records = self._records
        is_complete = records.needs_all(link.stamp)
        sent = self.state.published_for(link)
        quarantine = view.quarantine
        has_quarantine = quarantine.version > link.quarantine.version
        link.replies += 1
        reply = SyncReply(
            link.ask.ask,
            serves=True,
            leader='',
            term=view.term,
            quorum_age_s=view.age(now),
            published=sent.published,
            digest=sent.digest,
            document=self.state.part_for(link),
            epoch=self._epoch,
            stamp=records.stamp,
            targets=records.changed_since(link.stamp, now),
            removed=records.removals.since(link.stamp),
            is_complete=is_complete,
            lots=tuple(link.lots),
            loads=self._loads.changed_since(link.load_stamp),
            entries=view.entries,
            led_s=now - view.led_since if view.has_all_targets() else 0.0,
            orders_in_s=max(0.0, view.orders_allowed_at - now),
            rank=self._fleet_rank(vm),
            relays=view.relays,
            number=link.replies,
            quarantine=quarantine if has_quarantine else None,
            limits=self._limits.known.changed_since(link.limit_stamp, now),
            limit_stamp=self._limits.known.stamp,
            tolerances=self._tolerances.known.changed_since(
                link.tolerance_stamp, now
            ),
            tolerance_stamp=self._tolerances.known.stamp,
            send_lots=tuple(link.send_lots),
            found=tuple(link.found),
            peers=self._peers_for(link),
            utc_s=self._usage.clock.utc(now) or 0.0,
            usage_floor=self._usage.ledger.floor,
        )
        self._tokens.record_grant(vm, link.lots, link.replies, now)
        self._sends.record_grant(vm, link.send_lots, link.replies, now)
        link.lots = []
        link.send_lots = []
        link.found = []
        link.limit_stamp = reply.limit_stamp
        link.tolerance_stamp = reply.tolerance_stamp
        link.has_adapter = False
        link.replied_at = now
        link.stamp = records.stamp
        link.load_stamp = self._loads.stamp
        if sent.published:
            link.published.record_sent(sent.published.version, link.replies)
        link.quarantine.record_sent(quarantine.version, link.replies)
        return reply

    def _apply_reports(
        self, reply: SyncReply, asked_at: float, now: float
    ) -> None:
        """Apply what the leader says of this relay's reports."""
        self._reports.on_reply(reply.ask)
        self._usage.on_reply(reply, asked_at, now)
        news = LimitNews(reply.limits, reply.limit_stamp)
        self._limits.on_reply(reply, news, now)
        news = LimitNews(reply.tolerances, reply.tolerance_stamp)
        self._tolerances.on_reply(reply, news, now)

    def _merge_reports(self, ask: SyncAsk, now: float) -> None:
        self._reports.add_crashes(ask.crashes)
        self._reports.add_answered(ask.answered)
        self._trials.update(dict.fromkeys(ask.trials))
        self._limits.known.merge(ask.limits, now)
        self._tolerances.known.merge(ask.tolerances, now)
        self._usage.ledger.add(ask.usage)

    def _peers_for(self, link: EntryLink) -> tuple[EntryPeer, ...]:
        if not link.ask.wants_peers:
            return ()
        own = self._entries.links
        others = (one for one in self._peers.newest() if one.vm not in own)
        known = chain(self._entries.peers(), others)
        return peers_for(link.ask.vm, link.ask.zone, known)

    def _take_trials(self) -> tuple[TrialWish, ...]:
        trials = tuple(self._trials)
        self._trials.clear()
        return trials

    def _fleet_rank(self, vm: VmName) -> int:
        """Return an entry VM's rank among those of all relays.

        Ranks of different relays never meet, so that one that joins or
        leaves here changes none elsewhere.
        """
        relays = max(1, len(self.view.relays))
        return self._entries.rank(vm) * relays + self.view.rank

    def _grant_tokens(self, now: float) -> None:
        links = self._entries.links
        for vm, lots in self._tokens.distribute(now).items():
            if vm in links:
                links[vm].lots.extend(lots)
        for vm, lots in self._sends.distribute(now).items():
            if vm in links:
                links[vm].send_lots.extend(lots)

    def _remove_wishes(self, vm: VmName) -> None:
        self._tokens.remove(vm)
        self._sends.remove(vm)

    def _note_adapters(self, labels: set[str]) -> None:
        """Mark the entry VMs whose requests wait for one of the adapters."""
        adapters = {AdapterLabel.from_text(label).name for label in labels}
        for _vm, link in self._entries:
            link.has_adapter = link.has_adapter or link.waits_for(adapters)

    def _is_urgent(self, link: EntryLink) -> bool:
        if self.state.has_part_for(link):
            return True
        if link.published.version < self.view.published.version:
            return True
        if link.quarantine.version < self.view.quarantine.version:
            return True
        if link.stamp < self._records.left_stamp:
            return True
        if link.limit_stamp < self._limits.known.stamp:
            return True
        if link.tolerance_stamp < self._tolerances.known.stamp:
            return True
        return bool(link.lots or link.send_lots) or link.has_adapter

    def _push_at(self, link: EntryLink) -> float:
        """Return when to push to an entry VM; never if nothing changed."""
        if not self.view.term:
            return NEVER
        if self._is_urgent(link):
            return 0.0
        if link.stamp >= self._records.stamp:
            return NEVER
        return link.replied_at + PUSH_DELAY_S

    def _drop_silent(self, now: float) -> None:
        for vm in self._entries.drop_silent(now):
            self._remove_wishes(vm)
