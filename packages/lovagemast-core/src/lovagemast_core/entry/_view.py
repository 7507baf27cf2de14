"""A copy of the fleet's state, received from the leader or a relay."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from .._state import PublishedState
from .._types import SoftwareVersion, TargetName, ZoneName
from ..adapters import AdapterLabel
from ..deployment import DeploymentIndex
from ..documents import DocumentReceiver, digest_document
from ..quarantine import QuarantineState
from ..targets import RelayInfo, SyncReply, TargetRecord
from ._targetindex import TargetIndex

NEVER: Final = float('-inf')
# A new leader learns of targets from their heartbeats. Until it has led for
# this long its list may be incomplete, and no target is removed because of it.
LEADER_LEARNING_S: Final = 4.0
# How long an older adapter version may serve after this VM learned of a newer
# one. Operators allow 5 s from their acknowledgement, which leaves 3 s for the
# update to arrive.
VERSION_GRACE_S: Final = 2.0
# For this long a relay that knows less than the view is asked for all records
# with each request. Without a leader, none catches up.
MAX_CATCH_UP_S: Final = 1.0
# Targets that said that they leave; kept when a record is lost for a while.
MAX_LEAVING: Final = 1_024


class KnownTarget(NamedTuple):
    """A target's record and when this VM received it."""

    record: TargetRecord
    adapters: dict[AdapterLabel, float]  # the time at which each is ready, in s
    learned_at: float  # s

    def is_cold(self, now: float) -> bool:
        """Return whether the target is in its cold start."""
        return self.record.cold_s > now - self.learned_at


class FleetView:
    """Applies the leader's replies and tracks how recent the state is."""

    def __init__(self) -> None:
        self.published = PublishedState()  # without the document
        self.documents = DocumentReceiver()
        self.quarantine = QuarantineState()
        self.index: DeploymentIndex | None = None
        self.targets: dict[TargetName, KnownTarget] = {}
        self.confirmed_at = NEVER  # s
        self.term = 0  # of the leader, 0 until the first reply
        self.epoch = 0  # names the sequence that ``_stamp`` belongs to
        self.entries = 1
        self.rank = 0
        self.relays: tuple[RelayInfo, ...] = ()
        self.led_since = 0.0  # s
        self.orders_allowed_at = 0.0  # s, when the leader may send orders
        self._stamp = 0  # of the newest target records
        self._behind_since: float | None = None  # s, the current relay
        self._has_all_targets = False
        self._index = TargetIndex()
        self._newest: dict[tuple[str, str], tuple[int, float]] = {}
        self._zones_out: frozenset[ZoneName] = frozenset()
        self._software: dict[str, frozenset[SoftwareVersion]] = {}
        # Incarnations of targets that said in an answer that they leave.
        self._leaving: dict[TargetName, int] = {}

    def apply(
        self,
        reply: SyncReply,
        asked_at: float,
        now: float,
    ) -> bool:
        """Apply a leader's reply; return whether the configuration is new.

        ``asked_at`` is when the sync request that the reply names was sent: the
        configuration counts as confirmed at that time, less the quorum's
        age, if the newest one is in force. Committed state is applied whoever
        sends it, if its version is newer. All else in replies of an earlier
        term is ignored: they come from a leader that has not noticed yet that
        it was replaced. So it is in those of another relay that knows less
        than this view, until it has caught up: its records would undo newer
        ones.
        """
        self._apply_quarantine(reply.quarantine)
        revision = self.documents.revision
        self._apply_published(reply, now)
        is_newer = self.documents.revision > revision
        if self._is_outdated(reply, asked_at, now):
            return is_newer
        self._behind_since = None
        confirmed = asked_at - max(0.0, reply.quorum_age_s)
        if self.documents.is_current:
            self.confirmed_at = max(self.confirmed_at, confirmed)
        self.term = reply.term
        if reply.epoch != self.epoch:
            self.epoch = reply.epoch
            self._stamp = 0
            self._has_all_targets = False
        self.led_since = now - reply.led_s
        self._apply_targets(reply, now)
        self.entries = max(1, reply.entries)
        self.rank = reply.rank
        self.orders_allowed_at = now + reply.orders_in_s
        if reply.relays:
            self.relays = reply.relays
        return is_newer

    @property
    def is_relay_behind(self) -> bool:
        """Return whether replies are ignored until the relay catches up."""
        return self._behind_since is not None

    def has_all_targets(self) -> bool:
        """Return whether all targets of the current leader are known."""
        return self._has_all_targets

    def stamp_to_ask(self, now: float) -> int:
        """Return the stamp for the next sync request, 0 for all records.

        All records are requested once after a new leader has learned of the
        targets, to find those that it does not know.
        """
        learned = now - self.led_since >= LEADER_LEARNING_S
        return 0 if learned and not self._has_all_targets else self._stamp

    def age(self, now: float) -> float:
        """Return how long ago a quorum confirmed the configuration, in s."""
        return now - self.confirmed_at

    def zone_is_out(self, zone: ZoneName) -> bool:
        """Return whether operators have taken a zone out of service."""
        return zone in self._zones_out

    def newest_version(self, model: str, adapter: str) -> int:
        """Return an adapter's newest version, 0 if none is known."""
        return self._newest.get((model, adapter), (0, 0.0))[0]

    def min_version(self, model: str, adapter: str, now: float) -> int:
        """Return the oldest version of an adapter that may still serve."""
        newest, since = self._newest.get((model, adapter), (0, 0.0))
        return newest if now - since > VERSION_GRACE_S else max(0, newest - 1)

    def software_of(self, pool: str) -> frozenset[SoftwareVersion]:
        """Return the software versions that may have begun open streams.

        It is empty while the leader has stored none for the pool.
        """
        stored = self._software.get(pool, frozenset())
        if not stored:
            return stored
        return stored | {
            known.record.software for known in self.find_targets(pool, '', '')
        }

    def has_several_versions(self, pool: str) -> bool:
        """Return whether several software versions of a pool are stored."""
        return len(self._software.get(pool, ())) > 1

    def serves(self, pool: str, software: SoftwareVersion) -> bool:
        """Return whether a target of a software version is in service."""
        return any(
            self.is_in_service(known, software)
            for known in self.find_targets(pool, '', '')
        )

    def is_in_service(
        self, known: KnownTarget, software: SoftwareVersion | None
    ) -> bool:
        """Return whether a target takes requests, of one version if given."""
        record = known.record
        if self.is_leaving(record) or self.zone_is_out(record.zone):
            return False
        return software is None or record.software == software

    def may_use(self, chosen: KnownTarget) -> bool:
        """Return whether a target that was chosen before may still be used."""
        current = self.targets.get(chosen.record.target)
        if current is None or self.is_leaving(current.record):
            return False
        if current.record.incarnation != chosen.record.incarnation:
            return False
        return not self.zone_is_out(current.record.zone)

    def is_leaving(self, record: TargetRecord) -> bool:
        """Return whether a target is leaving, by a record or its answer."""
        said_by = self._leaving.get(record.target)
        return record.leaving or said_by == record.incarnation

    def record_leaving(self, known: KnownTarget) -> bool:
        """Record that a target says itself that it leaves.

        Return whether that is news.
        """
        record = known.record
        if self.is_leaving(record):
            return False
        self._leaving[record.target] = record.incarnation
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))
        return True

    def drop(self, target: TargetName) -> None:
        """Remove a target that is gone or turned out to be another one."""
        self.targets.pop(target, None)
        self._index.remove(target)

    def find_targets(
        self, pool: str, model: str, adapter: str
    ) -> Iterator[KnownTarget]:
        """Yield the targets of a pool that may serve an adapter.

        ``model`` and ``adapter`` are empty if none is needed.
        """
        names = self._index.in_pool(pool)
        if adapter:
            names = self._index.holders(model, adapter)
        for name in names:
            known = self.targets[name]
            if known.record.pool == pool:
                yield known

    def _is_outdated(
        self, reply: SyncReply, asked_at: float, now: float
    ) -> bool:
        """Return whether to ignore what a reply says of targets and age."""
        if reply.term < self.term:
            return True
        confirmed = asked_at - max(0.0, reply.quorum_age_s)
        return reply.epoch != self.epoch and self._is_behind(confirmed, now)

    def _is_behind(self, confirmed: float, now: float) -> bool:
        """Return whether to wait for another relay to catch up."""
        if confirmed >= self.confirmed_at:
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since < MAX_CATCH_UP_S

    def _apply_quarantine(self, state: QuarantineState | None) -> None:
        if state and state.version > self.quarantine.version:
            self.quarantine = state

    def _apply_published(self, reply: SyncReply, now: float) -> None:
        published = reply.published
        if published and published.version > self.published.version:
            self._apply_newer(published, now)
            whole = published.document  # of an older build
            digest = reply.digest or digest_document(whole)
            self.documents.want(published.revision, digest)
            if not reply.digest:
                self.documents.offer(published.revision, whole)
        if reply.document:
            self.documents.add(reply.document)

    def _apply_newer(self, published: PublishedState, now: float) -> None:
        for named in published.adapter_versions:
            name = (named.model, named.adapter)
            if named.version > self._newest.get(name, (0, 0.0))[0]:
                self._newest[name] = (named.version, now)
        self._zones_out = frozenset(published.zones_out)
        self._software = {
            one.pool: frozenset(one.versions) for one in published.software
        }
        self.published = published._replace(document='')

    def _apply_targets(self, reply: SyncReply, now: float) -> None:
        for record in reply.targets:
            adapters = {
                AdapterLabel.from_text(one.label): now + one.ready_in_s
                for one in record.adapters
            }
            known = KnownTarget(record, adapters, now)
            self.targets[record.target] = known
            self._index.put(record)
        self._stamp = max(self._stamp, reply.stamp)
        for target in reply.removed:
            self.drop(target)
        if not reply.is_complete or reply.led_s < LEADER_LEARNING_S:
            return
        self._has_all_targets = True
        present = {record.target for record in reply.targets}
        for target in set(self.targets) - present:
            self.drop(target)
