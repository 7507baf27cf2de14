"""The follower's side of log replication."""

from .._effects import SavedSnapshot
from .._messages import AppendEntries, AppendReply, InstallSnapshot
from ._election import Election
from ._formats import FORMAT
from ._replicastate import ReplicaState, Role, vm_of


class Follower:
    """Handles entries and snapshots from the leader."""

    def __init__(self, replica: ReplicaState, election: Election) -> None:
        self._replica = replica
        self._election = election

    def on_append(self, message: AppendEntries, now: float) -> None:
        """Append entries that continue the local log.

        If they do not, the reply is a rejection with the highest index that
        may still match.
        """
        replica = self._replica
        accepted = False
        match_index = replica.log.last_index
        if self._accept_leader(message.term, message.leader, now):
            if message.entries and replica.barrier.is_full:
                return  # the leader sends them again
            accepted = self._has_previous_entry(message)
            if accepted:
                match_index = self._append_new_entries(message)
                replica.commit_to(min(message.commit, match_index), now)
            else:
                match_index = min(message.prev_index - 1, match_index)
        reply = AppendReply(
            replica.term,
            replica.identity,
            accepted,
            match_index,
            message.sent_at,
            FORMAT,
        )
        replica.barrier.send(vm_of(message.leader), reply)

    def on_snapshot(self, message: InstallSnapshot, now: float) -> None:
        """Install the leader's snapshot if it is ahead of the local commits."""
        replica = self._replica
        if not self._accept_leader(message.term, message.leader, now):
            return
        if replica.barrier.is_full:
            return  # the leader sends it again
        if message.last_index > replica.commit_index:
            snapshot = SavedSnapshot(
                message.last_index,
                message.last_term,
                message.voters,
                message.state,
            )
            replica.install(snapshot)
        reply = AppendReply(
            replica.term,
            replica.identity,
            accepted=True,
            match_index=message.last_index,
            asked_at=message.sent_at,
            format=FORMAT,
        )
        replica.barrier.send(vm_of(message.leader), reply)

    def _accept_leader(self, term: int, leader: str, now: float) -> bool:
        replica = self._replica
        if term < replica.term:
            return False
        if term > replica.term or replica.role is not Role.FOLLOWER:
            self._election.step_down(term, now)
        replica.leader = leader
        self._election.on_leader_contact(now)
        return True

    def _has_previous_entry(self, message: AppendEntries) -> bool:
        log = self._replica.log
        if message.prev_index < log.snapshot.last_index:
            return True
        return log.term_at(message.prev_index) == message.prev_term

    def _append_new_entries(self, message: AppendEntries) -> int:
        replica = self._replica
        for entry in message.entries:
            if entry.log_index <= replica.log.snapshot.last_index:
                continue
            if replica.log.term_at(entry.log_index) == entry.term:
                continue
            if entry.log_index <= replica.log.last_index:
                replica.truncate_from(entry.log_index)
            replica.append(entry)
        last_sent = message.prev_index + len(message.entries)
        return max(last_sent, replica.log.snapshot.last_index)
