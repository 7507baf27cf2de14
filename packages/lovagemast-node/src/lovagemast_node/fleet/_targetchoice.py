"""Chooses the target of a request, within the limits of this entry VM."""

from typing import Final

from lovagemast_core.entry import (
    Choice,
    EntryShare,
    KnownTarget,
    NoReadyTarget,
    SelectionCriteria,
    TargetRequirements,
    TargetUse,
    choose_target,
    find_candidates,
)

from ._admitted import AdmittedRequest
from ._entrystate import EntryState
from ._streamcontinuity import StreamContinuity
from ._targetlimits import send_terms

# Load that a target's unprocessed prompts add when they reach the prefill
# limit; 1.0 is a target with all slots in use.
PREFILL_LOAD_WEIGHT: Final = 0.1
# Part of a target's connection limit that all entry VMs together may use.
CONNECTION_LIMIT_FRACTION: Final = 0.9


class TargetChooser:
    """Applies the limits of an entry VM to the choice of a target."""

    def __init__(
        self,
        state: EntryState,
        admitted: AdmittedRequest,
        continuity: StreamContinuity,
    ) -> None:
        self._state = state
        self._admitted = admitted
        self._continuity = continuity
        # Targets that only their limits held back, at the last choice.
        self.limited: list[KnownTarget] = []

    @property
    def requirements(self) -> TargetRequirements:
        """Return what the request requires of a target now."""
        return TargetRequirements(
            self._admitted.pool.name,
            self._admitted.metadata.model,
            self._admitted.metadata.adapter,
            self._continuity.software,
        )

    def choose(
        self, tried: frozenset[str], now: float
    ) -> Choice | NoReadyTarget:
        """Return the target to send the request to, if one is ready.

        Targets in ``tried`` were already sent the request.
        """
        state = self._state
        self.limited = []
        criteria = SelectionCriteria(
            state.health,
            lambda known: self._load_of(known, now),
            lambda known: self._may_send(known, now),
            tried,
            state.cfg.zone,
            state.cfg.vm,
            state.load.paces.terms(self._admitted.pool.name, now),
        )
        candidates = find_candidates(state.view, self.requirements, now)
        return choose_target(candidates, criteria, now)

    def _load_of(self, known: KnownTarget, now: float) -> float:
        state = self._state
        entries = state.view.entries
        load = state.load.load_of(known, entries, state.view.age(now), now)
        prefill_used = state.prefill.utilization(known.record.target, entries)
        return load + PREFILL_LOAD_WEIGHT * prefill_used

    def _may_send(self, known: KnownTarget, now: float) -> bool:
        if not self._has_room(known, now):
            return False
        terms = send_terms(self._state, now)
        if self._state.sends.may_send(known, terms, now):
            return True
        self.limited.append(known)
        return False

    def _has_room(self, known: KnownTarget, now: float) -> bool:
        state = self._state
        entries = state.view.entries
        target = known.record.target
        max_running = (
            self._admitted.pool.max_connections
            * CONNECTION_LIMIT_FRACTION
            / entries
        )
        if state.load.running_at(target) >= max(2, int(max_running)):
            return False
        if self._exceeds_batch_limit(known, now):
            return False
        if not self._is_brittle_room(known, now):
            return False
        tokens = self._admitted.metadata.prompt_tokens
        if not state.prefill.may_send(target, tokens, entries):
            return False
        if not known.is_cold(now):
            return True
        per_s = self._admitted.pool.cold_per_s
        share = EntryShare(state.view.rank, entries)
        return state.cold.may_send(target, per_s, share, now)

    def _is_brittle_room(self, known: KnownTarget, now: float) -> bool:
        """Return whether a target will take it, if it may not reject many."""
        state = self._state
        if state.rejections.tolerance_of(known) is None:
            return True
        entries = state.view.entries
        use = TargetUse(
            state.load.running_at(known.record.target),
            state.load.load_of(known, entries, state.view.age(now), now),
        )
        share = EntryShare(state.view.rank, entries)
        return state.rejections.may_send(known, use, share, now)

    def _exceeds_batch_limit(self, known: KnownTarget, now: float) -> bool:
        if self._admitted.pool.engine is None:
            return False
        state = self._state
        view = state.view
        load = state.load.load_of(known, view.entries, view.age(now), now)
        target = known.record.target
        priority = max(0, self._admitted.queue_priority)
        return load >= state.batch.limit(target, priority)
