"""Tests of admission at one target."""

import pytest
from lovagemast_core import Priority, TargetFacts, least_demand
from lovagemast_core._messages import Ending, Ticket
from lovagemast_core.ownership._ownedtarget import PROOF_S, OwnedTarget

FACTS = TargetFacts('t', 'z', 'lm', 'a:1', 'i0', 1, 2, 4)


def owned_target() -> OwnedTarget:
    """Return a target that admits calls for adapter ``x@1``."""
    owned = OwnedTarget(
        FACTS,
        1,
        engine=True,
        eviction_order=least_demand,
        now=0,
    )
    owned.recovered = True
    owned.limit.start_from(4)
    owned.prove('i0', 0)
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
    """Admission ends with the lease."""

    @pytest.mark.parametrize(('now', 'granted'), [(2.9, True), (3, False)])
    def test_no_grant_after_the_lease(self, now: float, granted: bool) -> None:
        """A process that wakes up late grants nothing."""
        owned = owned_target()
        owned.lease_until = 3
        owned.enqueue('vm', ticket(1), 0)
        assert (owned.next_grant(0, now) is not None) is granted


class TestPins:
    """Adapters in use or waited for are not evicted."""

    def test_waiting_ticket_pins(self) -> None:
        """A queued ticket keeps its adapter."""
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
        """Nothing is evicted while a VM may run unknown calls."""
        owned = owned_target()
        owned.unanswered = {'vm9'}
        assert not owned.may_evict(10)


class TestProof:
    """A target that may have restarted gets one call."""

    def test_second_call_waits_for_a_proof(self) -> None:
        """Old proof lets one call run, a fresh one the rest."""
        owned = owned_target()
        for number in range(3):
            owned.enqueue('vm', ticket(number), 0)
        later = PROOF_S * 4
        assert owned.next_grant(0, later)
        assert owned.next_grant(1, later) is None
        owned.prove('i0', later)
        assert owned.next_grant(1, later)

    def test_call_since_the_proof_is_doubtful(self) -> None:
        """A call granted just before a restart was seen stays, in doubt."""
        owned = owned_target()
        owned.enqueue('vm', ticket(1), 0)
        owned.next_grant(0, 0.2)
        assert owned.restarted('i1', 0.3) == []
        assert owned.running['vm/b/1'].doubtful == 'i0'


class TestSuspects:
    """Requests that were seen at a crash run one at a time."""

    def test_one_suspect_at_a_time(self) -> None:
        """The second suspect waits until the first has ended."""
        owned = owned_target()
        for number in range(2):
            owned.enqueue('vm', ticket(number, suspect=True), 0)
        assert owned.next_grant(0, 0)
        assert owned.next_grant(1, 0) is None
        owned.remove('vm/b/0', Ending.WHOLE, 0.1, 0.1)
        assert owned.next_grant(0, 0.1)
