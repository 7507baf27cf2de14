"""Tests of admission control at one target."""

import pytest
from lovagemast_core import Priority, TargetFacts, least_demand
from lovagemast_core._messages import Ending, Ticket
from lovagemast_core.ownership._ownedtarget import (
    PROBE_FRESHNESS_S,
    OwnedTarget,
)

FACTS = TargetFacts('t', 'z', 'lm', 'a:1', 'i0', 1, 2, 4)


def owned_target() -> OwnedTarget:
    """Return a ready target that has adapter version ``x@1`` loaded."""
    owned = OwnedTarget(
        FACTS,
        1,
        engine=True,
        eviction_score=least_demand,
        now=0,
    )
    owned.recovered = True
    owned.limit.resume_from(4)
    owned.confirm_incarnation('i0', 0)
    owned.cache.reconcile(('x@1',), 0, 0)
    return owned


def ticket(number: int, label: str = 'x@1', *, suspect: bool = False) -> Ticket:
    """Return a ticket of one client account."""
    return Ticket(
        f'vm/b/{number}',
        'a',
        label,
        f'f{number}',
        1,
        Priority.STANDARD,
        10,
        suspect,
    )


class TestLease:
    """No grants after the lease has expired."""

    @pytest.mark.parametrize(('now', 'granted'), [(2.9, True), (3, False)])
    def test_no_grant_after_the_lease(self, now: float, granted: bool) -> None:
        """A process resumed after its lease has expired grants nothing."""
        owned = owned_target()
        owned.lease_until = 3
        owned.enqueue('vm', ticket(1), 0)
        assert (owned.next_grant(0, now) is not None) is granted


class TestPins:
    """Adapters in use or needed by waiting tickets are not evicted."""

    def test_waiting_ticket_pins(self) -> None:
        """A waiting ticket protects its adapter from eviction."""
        owned = owned_target()
        owned.enqueue('vm', ticket(1), 0)
        assert owned.cache.victim(0) is None

    def test_ended_call_unpins(self) -> None:
        """An adapter may be evicted after its last call."""
        owned = owned_target()
        owned.enqueue('vm', ticket(1), 0)
        owned.next_grant(0, 0)
        owned.remove('vm/b/1', Ending.WHOLE, 0.1, 1)
        assert owned.cache.victim(1)

    def test_unanswered_vm_forbids_eviction(self) -> None:
        """Nothing is evicted while a VM may have untracked calls."""
        owned = owned_target()
        owned.unreported_vms = {'vm9'}
        assert not owned.may_evict(10)


class TestProbeFreshness:
    """A target that may have restarted gets only one call."""

    def test_second_call_waits_for_a_probe(self) -> None:
        """Without a fresh probe only one call is granted."""
        owned = owned_target()
        for number in range(3):
            owned.enqueue('vm', ticket(number), 0)
        later = PROBE_FRESHNESS_S * 4
        assert owned.next_grant(0, later)
        assert owned.next_grant(1, later) is None
        owned.confirm_incarnation('i0', later)
        assert owned.next_grant(1, later)

    def test_call_since_the_probe_may_have_crashed(self) -> None:
        """A call granted after the last probe is kept across a restart.

        Either it runs in the new incarnation, or the old one crashed under
        it; the old incarnation is recorded for the latter case.
        """
        owned = owned_target()
        owned.enqueue('vm', ticket(1), 0)
        owned.next_grant(0, 0.2)
        assert owned.reset_after_restart('i1', 0.3) == []
        assert owned.running['vm/b/1'].possibly_crashed_incarnation == 'i0'


class TestSuspects:
    """Requests that were running during a crash run one at a time."""

    def test_one_suspect_at_a_time(self) -> None:
        """The second suspect request waits until the first has ended."""
        owned = owned_target()
        for number in range(2):
            owned.enqueue('vm', ticket(number, suspect=True), 0)
        assert owned.next_grant(0, 0)
        assert owned.next_grant(1, 0) is None
        owned.remove('vm/b/0', Ending.WHOLE, 0.1, 0.1)
        assert owned.next_grant(0, 0.1)
