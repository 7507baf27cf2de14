"""What a relay knows of each entry VM that syncs with it."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Final

from .._types import TargetName, VmName
from ..streams import FoundStream
from ..targets import (
    AdapterUse,
    AdapterWish,
    EntryPeer,
    SyncAsk,
    TokenLot,
)

ENTRY_TIMEOUT_S: Final = 2.0  # without a request, until one is dropped


# Pool, model, adapter and software version of a wish.
_WishName = tuple[str, str, str, str]


class SentVersion:
    """The version of some state that the other side of a stream holds.

    What was sent counts as held until a request tells otherwise: one that
    names the reply with the version, or a later one, as received.
    """

    def __init__(self) -> None:
        self.version = 0
        self._reply = 0  # number of the reply that carried it

    def record_sent(self, version: int, reply: int) -> None:
        """Record a version that a reply carries."""
        if version > self.version:
            self.version = version
            self._reply = reply

    def record_held(self, version: int, seen: int) -> None:
        """Record the version that a request states.

        ``seen`` is the number of the newest reply that had been received.
        """
        if seen >= self._reply or version > self.version:
            self.version = version


class EntryLink:
    """One entry VM's stream: what it reported and what it was sent."""

    def __init__(self, session: int) -> None:
        self.session = session
        self.ask = SyncAsk(0, '', '', 0, 0, 0)  # the newest one
        self.asked_at = 0.0  # s
        self.replied_at = 0.0  # s
        self.has_adapter = False  # that requests wait for, not told yet
        self.stamp = 0  # of the records that it was sent
        self.load_stamp = 0  # of the loads that it was sent
        self.published = SentVersion()
        self.lacks_document = False  # that it asked for, and wasn't sent
        self.quarantine = SentVersion()
        self.limit_stamp = 0  # of the targets' limits that it was sent
        self.tolerance_stamp = 0  # the same, of rejections that they bear
        self.replies = 0
        self.found: list[FoundStream] = []  # answers not sent yet
        self.lots: list[TokenLot] = []  # granted and not sent yet
        self.send_lots: list[TokenLot] = []  # the same, for limited targets

    def record_ask(self, ask: SyncAsk, epoch: int, now: float) -> None:
        """Store a request and what it says the entry VM holds.

        It may have been sent before the last push arrived. A stamp of 0 asks
        for all records.
        """
        holds = ask.stamp if ask.epoch == epoch else 0
        self.stamp = max(self.stamp, holds) if holds else 0
        if ask.epoch == epoch:
            self.limit_stamp = max(self.limit_stamp, ask.limit_stamp)
            self.tolerance_stamp = max(
                self.tolerance_stamp, ask.tolerance_stamp
            )
        self.published.record_held(ask.version, ask.seen)
        self.quarantine.record_held(ask.quarantine, ask.seen)
        self.lacks_document = ask.document is not None
        self.ask = ask
        self.asked_at = now

    def waits_for(self, adapters: set[tuple[str, str]]) -> bool:
        """Return whether requests wait for one of some adapters."""
        return any(
            wish.waiting and (wish.model, wish.adapter) in adapters
            for wish in self.ask.wishes
        )


class ConnectedEntries:
    """The entry VMs of a relay, and the sums of what they report."""

    def __init__(self) -> None:
        self.links: dict[VmName, EntryLink] = {}
        self._demand: dict[_WishName, float] = defaultdict(float)
        self._missing: set[str] = set()

    def __iter__(self) -> Iterator[tuple[VmName, EntryLink]]:
        """Iterate over entry VMs and their links."""
        return iter(self.links.items())

    def __len__(self) -> int:
        """Return the number of entry VMs."""
        return len(self.links)

    def record_ask(
        self, session: int, ask: SyncAsk, epoch: int, now: float
    ) -> EntryLink:
        """Store a request and return the entry VM's link.

        A new ``session`` is a new stream, on which nothing was sent yet.
        """
        link = self.links.get(ask.vm)
        if link is None or link.session != session:
            link = EntryLink(session)
            self.links[ask.vm] = link
        link.record_ask(ask, epoch, now)
        for wish in ask.wishes:
            self._demand[_name_of(wish)] += wish.demand
        self._missing.update(ask.missing)
        return link

    def drop_silent(self, now: float) -> list[VmName]:
        """Drop entry VMs without a recent request and return them."""
        silent = [
            vm
            for vm, link in self.links.items()
            if now - link.asked_at > ENTRY_TIMEOUT_S
        ]
        for vm in silent:
            self.links.pop(vm)
        return silent

    def rank(self, vm: VmName) -> int:
        """Return an entry VM's rank among those of this relay."""
        return sum(other < vm for other in self.links)

    def take_wishes(self) -> tuple[AdapterWish, ...]:
        """Return the demand since the last call and what is waited for."""
        waiting: Counter[_WishName] = Counter()
        for link in self.links.values():
            for wish in link.ask.wishes:
                waiting[_name_of(wish)] += wish.waiting
        waiting = +waiting
        wishes = tuple(
            AdapterWish(*name[:3], waiting[name], self._demand[name], name[3])
            for name in sorted({*waiting, *self._demand})
        )
        self._demand.clear()
        return wishes

    def take_missing(self) -> tuple[str, ...]:
        """Return the missing adapters reported since the last call."""
        missing = tuple(sorted(self._missing))
        self._missing.clear()
        return missing

    def total_uses(self) -> tuple[AdapterUse, ...]:
        """Return the running requests by adapter, over all entry VMs."""
        running: dict[tuple[str, str], int] = defaultdict(int)
        started: dict[tuple[str, str], int] = defaultdict(int)
        for use in self._all_uses():
            running[use.target, use.label] += use.running
            started[use.target, use.label] += use.started
        return tuple(
            AdapterUse(*name, running[name], started[name])
            for name in sorted(running)
        )

    def peers(self) -> tuple[EntryPeer, ...]:
        """Return the entry VMs that may send requests for others."""
        return tuple(
            EntryPeer(vm, link.ask.zone, link.ask.host)
            for vm, link in sorted(self.links.items())
            if link.ask.host
            and not link.ask.wants_peers
            and not link.ask.draining
        )

    def behind(self, revision: int) -> tuple[VmName, ...]:
        """Return the entry VMs at which an older revision is in force."""
        return tuple(
            sorted(
                vm
                for vm, link in self.links.items()
                if link.ask.revision < revision
            )
        )

    def want_peers(self) -> bool:
        """Return whether an entry VM reaches no target of some pool."""
        return any(link.ask.wants_peers for link in self.links.values())

    def unreachable(self) -> tuple[TargetName, ...]:
        """Return the targets that an entry VM cannot reach."""
        return tuple(
            sorted(
                {
                    target
                    for link in self.links.values()
                    for target in link.ask.shut
                }
            )
        )

    def _all_uses(self) -> Iterable[AdapterUse]:
        for link in self.links.values():
            yield from link.ask.uses


def _name_of(wish: AdapterWish) -> _WishName:
    return wish.pool, wish.model, wish.adapter, wish.software
