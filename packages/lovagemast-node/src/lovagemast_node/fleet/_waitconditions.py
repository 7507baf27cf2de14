"""What a request waits for, and when it is to wait no longer."""

from typing import Final, NamedTuple

from lovagemast_core.entry import (
    NoReadyTarget,
    TargetRequirements,
    find_candidates,
)

from ._admitted import AdmittedRequest
from ._entrystate import EntryState
from ._poolqueues import MAX_RETRY_AFTER_S
from ._quarantinecheck import QuarantineCheck
from ._refusal import HttpRefusal
from ._streamcontinuity import StreamContinuity
from ._targetchoice import TargetChooser
from ._targetlimits import TokenWait

# The wait for a token of a limited target, as a multiple of the objective.
TOKEN_WAIT_OBJECTIVES: Final = 0.75
NOT_RUN_RETRY_AFTER_S: Final = 0.2
# First words of the refusal's reason, which callers may rely on.
PAUSED_CODE: Final = 'targets-paused'
EXPECTED_ADAPTER_WAIT_S: Final = 0.4  # a load and the leader's round trip


class SearchTerms(NamedTuple):
    """What one search for a target depends on.

    Targets in ``tried`` were already sent the request. ``has_begun`` tells
    that the caller has got a part of the response.
    """

    tried: frozenset[str]
    give_up_at: float  # s
    has_begun: bool = False


class WaitConditions:
    """Checks of one request while no target can take it.

    Refusals say that the request has not run at the target waited for;
    earlier attempts are the caller's concern.
    """

    def __init__(
        self,
        state: EntryState,
        admitted: AdmittedRequest,
        quarantine: QuarantineCheck,
        continuity: StreamContinuity,
    ) -> None:
        self.chooser = TargetChooser(state, admitted, continuity)
        self.tokens = TokenWait(state)
        self._state = state
        self._admitted = admitted
        self._quarantine = quarantine
        self._continuity = continuity
        # What was reported as waited for.
        self._reported: TargetRequirements | None = None
        self._is_crowded = False  # reported, once

    def end(self) -> None:
        """Stop waiting for tokens and for an adapter."""
        self.tokens.end()
        self._end_report()

    def is_held(self, choice: NoReadyTarget) -> bool:
        """Return whether the request waits for more than a free slot."""
        return (
            not choice.holder_count
            or choice.paused_until is not None
            or self._is_only_limited(choice)
        )

    def holders(self, choice: NoReadyTarget, now: float) -> frozenset[str]:
        """Return the targets that lack only room for the request."""
        if self.is_held(choice):
            return frozenset()
        requirements = self.chooser.requirements
        candidates = find_candidates(self._state.view, requirements, now)
        return frozenset(one.target for one in candidates)

    def keep_waiting(
        self, choice: NoReadyTarget, terms: SearchTerms, now: float
    ) -> HttpRefusal | None:
        """Record what the request waits for, or return why it waits no more."""
        give_up_at = terms.give_up_at
        self.tokens.update(self.chooser.limited, now)
        token_deadline = give_up_at
        if not terms.tried:
            token_deadline = min(give_up_at, self._token_deadline())
        refusal = self._check(choice, give_up_at, token_deadline, now)
        if refusal is None and self._needs_load(choice, now):
            self._report_waiting()
        if not self._is_crowded and self._lacks_room(choice):
            self._is_crowded = True
            self._state.load.adapter_crowded(self.chooser.requirements)
        return refusal

    def _check(
        self,
        choice: NoReadyTarget,
        give_up_at: float,
        token_deadline: float,
        now: float,
    ) -> HttpRefusal | None:
        """Return why the request is not to wait any longer."""
        refusal = self._quarantine.quarantine_refusal()
        refusal = refusal or self._continuity.refusal_if_gone()
        if refusal:
            return refusal
        if self._is_only_limited(choice) and self._waits_in_vain(
            token_deadline, now
        ):
            return self.tokens.refusal(now)
        if now >= give_up_at:
            return HttpRefusal(503, 'no target is free', NOT_RUN_RETRY_AFTER_S)
        if choice.paused_until is not None and choice.paused_until > give_up_at:
            wait_s = min(MAX_RETRY_AFTER_S, choice.paused_until - now)
            return HttpRefusal(503, f'{PAUSED_CODE}: all want one', wait_s)
        orders_at = self._state.view.orders_allowed_at
        if self._lacks_adapter(choice) and orders_at > give_up_at:
            wait_s = orders_at - now + EXPECTED_ADAPTER_WAIT_S
            return HttpRefusal(503, 'no adapter can be loaded yet', wait_s)
        return None

    def _waits_in_vain(self, give_up_at: float, now: float) -> bool:
        """Return whether neither a token nor another target will come in time.

        An adapter may be loaded at another target meanwhile.
        """
        if now >= give_up_at:
            return True
        waited_s = now - self._admitted.arrived_at
        may_be_loaded = (
            bool(self.chooser.requirements.adapter)
            and waited_s < EXPECTED_ADAPTER_WAIT_S
        )
        return not may_be_loaded and self.tokens.exceeds(give_up_at, now)

    def _token_deadline(self) -> float:
        """Return until when a first attempt waits for a token.

        Later ones, and streams that have begun, wait as for any target.
        """
        objective_s = self._admitted.route.objective_s
        return self._admitted.arrived_at + TOKEN_WAIT_OBJECTIVES * objective_s

    def _needs_load(self, choice: NoReadyTarget, now: float) -> bool:
        """Return whether the adapter should be loaded at another target."""
        if self._lacks_adapter(choice):
            return True
        return (
            bool(self.chooser.requirements.adapter)
            and self._is_only_limited(choice)
            and self.tokens.is_short(now)
        )

    def _is_only_limited(self, choice: NoReadyTarget) -> bool:
        """Return whether only limits hold back all holders of the adapter."""
        limited = self.chooser.limited
        return bool(limited) and len(limited) >= choice.holder_count

    def _lacks_adapter(self, choice: NoReadyTarget) -> bool:
        return (
            bool(self.chooser.requirements.adapter) and not choice.holder_count
        )

    def _lacks_room(self, choice: NoReadyTarget) -> bool:
        """Return whether the adapter's targets are full, in an ordered pool."""
        wanted = self.chooser.requirements
        if not wanted.adapter or choice.ready_at is not None:
            return False
        has_queue = self._state.queues.queue_of(wanted.pool) is not None
        return has_queue and not self.is_held(choice)

    def _report_waiting(self) -> None:
        """Report that a request waits for the adapter, once."""
        if self._reported is None:
            self._reported = self.chooser.requirements
            self._change_waiting(self._reported, 1)

    def _end_report(self) -> None:
        if self._reported:
            self._change_waiting(self._reported, -1)
            self._reported = None

    def _change_waiting(self, wanted: TargetRequirements, change: int) -> None:
        self._state.load.adapter_awaited(wanted, change)
        self._state.request_sync()
