"""The leader's side of log replication, and changes of the voters."""

import itertools
from collections.abc import Callable
from typing import Final

from .._commands import Command, NoOp, SetVoters
from .._messages import AppendEntries, AppendReply, Entry, InstallSnapshot
from .._outbox import Outbox, Timer
from .._timeline import EventKind
from ._election import Timing
from ._formats import PeerFormats
from ._progress import (
    MAX_BYTES_PER_MESSAGE,
    MAX_ENTRIES_PER_MESSAGE,
    MAX_UNANSWERED_BYTES,
    Progress,
    quorum_index,
    quorum_time,
)
from ._replicastate import ReplicaState, Role, vm_of
from ._sizes import limit_bytes

# A new identity replaces an older one of its VM only if its last contact is
# this much later: more than the delay by which replies may be reordered.
REPLACEMENT_MARGIN_S: Final = 0.5
# What a voter reads doesn't matter once it has been silent for this long.
FORMAT_CONTACT_S: Final = 2.0
# A surplus voter without contact for this long is removed.
VOTER_REMOVAL_TIMEOUT_S: Final = 6.0


class LogReplicator:
    """Replicates the log and maintains the voters while this replica leads."""

    def __init__(
        self,
        replica: ReplicaState,
        outbox: Outbox,
        step_down: Callable[[int, float], None],
        timing: Timing,
        voters_wanted: int | None = None,
    ) -> None:
        self._timing = timing
        self._voters_wanted = voters_wanted
        self._replica = replica
        self._outbox = outbox
        self._step_down = step_down
        self._progress: dict[str, Progress] = {}
        self.formats = PeerFormats()
        self._timer: Timer | None = None

    def start(self, now: float) -> None:
        """Become the leader of the current term."""
        replica = self._replica
        replica.role = Role.LEADER
        replica.leader = replica.identity
        self._progress = {
            voter: Progress(last_index=replica.log.last_index, now=now)
            for voter in replica.voters
            if voter != replica.identity
        }
        replica.append_command(NoOp(replica.identity))
        self._outbox.record(
            now,
            EventKind.LEADER_CHANGED,
            f'{replica.identity} leads term {replica.term}',
        )
        if self._timer:
            self._timer.cancel()
        self._on_heartbeat_timer(now)

    def may_append(self, command: Command, now: float) -> bool:
        """Return whether all voters in contact can read a command.

        Voters that come back later get a snapshot in place of what they can't
        read.
        """
        for voter, progress in self._progress.items():
            is_silent = now - progress.last_contact_at > FORMAT_CONTACT_S
            if is_silent or not progress.has_replied:
                continue
            if voter not in self._replica.voters:
                continue
            if not self.formats.can_read(voter, command):
                return False
        return True

    def propose(self, command: Command, now: float) -> None:
        """Append a command and replicate it to all followers."""
        self._replica.append_command(command)
        self._replicate(now)
        self._replica.flush()

    def add_learner(self, identity: str, now: float) -> None:
        """Replicate to a non-voter, which becomes a voter once caught up."""
        if identity not in self._progress:
            last_index = self._replica.log.last_index
            progress = Progress(last_index=last_index, now=now)
            self._progress[identity] = progress

    def quorum_contact_at(self, now: float) -> float:
        """Return the latest time since which a quorum has been in contact."""
        times = [
            now
            if voter == self._replica.identity
            else self._last_contact_at(voter)
            for voter in self._replica.voters
        ]
        return quorum_time(times) if times else float('-inf')

    def has_committed_in_term(self) -> bool:
        """Return whether this leader has committed an entry of its own term.

        Before that, the applied state may lack entries that an earlier leader
        acknowledged.
        """
        replica = self._replica
        term = replica.log.term_at(replica.commit_index)
        return replica.is_leader() and term == replica.term

    def confirm_leadership(self, now: float) -> None:
        """Send heartbeats at once, to have leadership confirmed anew."""
        self._replicate(now, heartbeat=True)
        self._replica.flush()

    def on_reply(self, reply: AppendReply, now: float) -> None:
        """Handle a reply of a follower and send it the entries it lacks."""
        replica = self._replica
        if reply.term > replica.term:
            self._step_down(reply.term, now)
        progress = self._progress.get(reply.replica)
        if not replica.is_leader() or progress is None:
            return
        if reply.term < replica.term:
            return
        progress.has_replied = True
        self.formats.record_format(reply.replica, reply.format)
        if reply.accepted:
            self._record_accepted(reply, progress.match_index)
            progress.accept(reply.match_index, reply.asked_at)
            self.advance_commit(now)
        else:
            progress.reject(reply.match_index, reply.asked_at)
        if progress.next_index <= replica.log.last_index:
            self._send_entries(reply.replica, progress, now)

    def advance_commit(self, now: float) -> None:
        """Commit up to the highest index that a quorum holds.

        Raft commits entries of earlier terms only together with an entry of
        the current one.
        """
        replica = self._replica
        if not replica.is_leader():
            return
        matches = [
            replica.synced_index
            if voter == replica.identity
            else self._match_index(voter)
            for voter in replica.voters
        ]
        index = quorum_index(matches) if matches else 0
        own_term = replica.log.term_at(index) == replica.term
        if index > replica.commit_index and own_term:
            replica.commit_to(index, now)
            self._replicate(now, heartbeat=True)

    def _on_heartbeat_timer(self, now: float) -> None:
        replica = self._replica
        if not replica.is_leader():
            return
        if now - self.quorum_contact_at(now) > self._timing.election_timeout_s:
            self._step_down(replica.term, now)
            replica.flush()
            return
        self._change_voters_if_safe(now)
        self._replicate(now, heartbeat=True)
        replica.flush()
        self._timer = self._outbox.call_at(
            now + self._timing.heartbeat_interval_s,
            self._on_heartbeat_timer,
        )

    def _replicate(self, now: float, *, heartbeat: bool = False) -> None:
        last_index = self._replica.log.last_index
        for identity, progress in self._progress.items():
            if heartbeat or progress.next_index <= last_index:
                self._send_entries(identity, progress, now)
        self.advance_commit(now)

    def _send_entries(
        self,
        identity: str,
        progress: Progress,
        now: float,
    ) -> None:
        replica = self._replica
        prev_index = progress.next_index - 1
        prev_term = replica.log.term_at(prev_index)
        if prev_term is None:
            self._send_snapshot(identity, progress, now)
            return
        entries: tuple[Entry, ...] = ()
        if not self._is_window_full(progress):
            entries = self._readable_entries(identity, progress.next_index)
            if not entries and progress.next_index <= replica.applied_index:
                replica.compact()  # the replica gets the state in their place
                self._send_snapshot(identity, progress, now)
                return
        progress.next_index += len(entries)
        message = AppendEntries(
            replica.term,
            replica.identity,
            prev_index,
            prev_term,
            entries,
            replica.commit_index,
            now,
        )
        replica.barrier.send(vm_of(identity), message)

    def _readable_entries(
        self, identity: str, first_index: int
    ) -> tuple[Entry, ...]:
        """Return the next entries up to the first that a replica can't read."""
        entries = self._replica.log.entries_from(
            first_index, MAX_ENTRIES_PER_MESSAGE
        )
        readable = itertools.takewhile(
            lambda entry: self.formats.can_read(identity, entry.command),
            entries,
        )
        return limit_bytes(readable, MAX_BYTES_PER_MESSAGE)

    def _is_window_full(self, progress: Progress) -> bool:
        """Return whether a replica has to answer before it is sent more."""
        unanswered = self._replica.log.bytes_between(
            progress.match_index + 1, progress.next_index - 1
        )
        return unanswered >= MAX_UNANSWERED_BYTES

    def _record_accepted(self, reply: AppendReply, match_index: int) -> None:
        """Record which commands a replica has accepted as entries."""
        count = reply.match_index - match_index
        if count > 0:
            entries = self._replica.log.entries_from(match_index + 1, count)
            self.formats.record_accepted(
                reply.replica,
                (
                    entry.command
                    for entry in entries
                    if entry.log_index <= reply.match_index
                ),
            )

    def _send_snapshot(
        self,
        identity: str,
        progress: Progress,
        now: float,
    ) -> None:
        if not progress.try_start_snapshot(now):
            return
        replica = self._replica
        snapshot = replica.log.snapshot
        message = InstallSnapshot(
            replica.term,
            replica.identity,
            snapshot.last_index,
            snapshot.last_term,
            snapshot.voters,
            snapshot.state,
            now,
        )
        replica.barrier.send(vm_of(identity), message)

    def _change_voters_if_safe(self, now: float) -> None:
        replica = self._replica
        commit_index = replica.commit_index
        is_committed = replica.log.voters_index <= commit_index
        if (
            not is_committed
            or replica.log.term_at(commit_index) != replica.term
        ):
            return
        removed = self._replaced_voter() or self._unresponsive_voter(now)
        learner = self._caught_up_learner()
        if removed:
            self._progress.pop(removed, None)
            remaining = [voter for voter in replica.voters if voter != removed]
            replica.append_command(SetVoters(tuple(remaining)))
        elif learner:
            voters = sorted((*replica.voters, learner))
            replica.append_command(SetVoters(tuple(voters)))

    def _replaced_voter(self) -> str | None:
        """Return a voter whose VM has come back with a new identity.

        The VM has lost its disk and the entries that the voter acknowledged,
        so the voter is removed before the new identity joins.
        """
        for voter in self._replica.voters:
            if voter != self._replica.identity and self._is_replaced(voter):
                return voter
        return None

    def _is_replaced(self, voter: str) -> bool:
        vm = vm_of(voter)
        if vm == vm_of(self._replica.identity):
            return True
        return any(
            identity != voter
            and vm_of(identity) == vm
            and progress.match_index > 0
            and progress.last_contact_at
            > self._last_contact_at(voter) + REPLACEMENT_MARGIN_S
            for identity, progress in self._progress.items()
        )

    def _unresponsive_voter(self, now: float) -> str | None:
        """Return an unresponsive voter if there are more than wanted."""
        voters = self._replica.voters
        if self._voters_wanted is None or len(voters) <= self._voters_wanted:
            return None
        for voter in voters:
            if voter == self._replica.identity:
                continue
            if now - self._last_contact_at(voter) > VOTER_REMOVAL_TIMEOUT_S:
                return voter
        return None

    def _caught_up_learner(self) -> str | None:
        """Return a learner that holds all entries from before it joined."""
        for identity, progress in self._progress.items():
            caught_up = progress.match_index >= progress.promotion_index
            alive = progress.match_index > 0
            if identity not in self._replica.voters and caught_up and alive:
                return identity
        return None

    def _match_index(self, voter: str) -> int:
        progress = self._progress.get(voter)
        return progress.match_index if progress else 0

    def _last_contact_at(self, voter: str) -> float:
        progress = self._progress.get(voter)
        return progress.last_contact_at if progress else float('-inf')
