"""Tests of orders whose responses are lost, of which some take effect late."""

from lovagemast_core.adapters import AdapterLabel, OrderResult

from tests.plannerbench import SLOTS, Bench

LOST = AdapterLabel('m', 'lost')


def lose_answer(bench: Bench) -> None:
    """Send a load whose response is lost; the engine did not accept it."""
    bench.wish(LOST.adapter)
    order = bench.plan()[0]
    assert order.adapter == LOST.adapter
    bench.answer(order, OrderResult.UNKNOWN)
    bench.now += 0.3


def slots_reserved(bench: Bench) -> int:
    """Return the adapter slots in use or reserved at the only engine."""
    engine = bench.planner.get('e0')
    assert engine
    return engine.slots_reserved(bench.now)


class TestReservedSlots:
    """Lost answers must not take the engine's slots from other adapters.

    At 30 lost answers in a hundred, most slots were reserved for loads that
    could no longer take effect.
    """

    def test_released_by_a_later_order(self) -> None:
        """The engine ignores an order once it has accepted another."""
        bench = Bench(engines=1)
        lose_answer(bench)
        bench.report('e0', ())
        assert slots_reserved(bench) == 1
        bench.planner.record_wishes((), bench.now)
        bench.wish('a1', demand=9.0)
        order = bench.plan()[0]
        assert order.adapter == 'a1'
        bench.answer(order)
        assert slots_reserved(bench) == 1

    def test_released_by_a_report(self) -> None:
        """A report of more orders tells that it was accepted or is void."""
        bench = Bench(engines=1)
        lose_answer(bench)
        bench.sequences['e0'] += 1
        bench.report('e0', (AdapterLabel('m', 'other'),))
        assert slots_reserved(bench) == 1

    def test_kept_while_it_may_take_effect(self) -> None:
        """A report of no further order leaves the reservation."""
        bench = Bench(engines=1)
        lose_answer(bench)
        bench.report('e0', ())
        assert slots_reserved(bench) == 1

    def test_not_released_by_a_refusal(self) -> None:
        """An order that was not accepted makes no other one void."""
        bench = Bench(engines=1)
        lose_answer(bench)
        bench.report('e0', ())
        bench.wish('a1', demand=9.0)
        bench.answer(bench.plan()[0], OrderResult.BUSY)
        assert slots_reserved(bench) == 1

    def test_all_slots_serve_after_lost_answers(self) -> None:
        """An engine whose answers are often lost still fills its slots."""
        bench = Bench(engines=1)
        for number in range(SLOTS):
            lose_answer(bench)
            bench.report('e0', tuple(bench_labels(number)))
            bench.load(f'a{number}')
            bench.report('e0', tuple(bench_labels(number + 1)))
        engine = bench.planner.get('e0')
        assert engine
        assert set(bench_labels(SLOTS)) == set(engine.ready_at)


def bench_labels(count: int) -> list[AdapterLabel]:
    """Return the labels of the first adapters that are loaded."""
    return [AdapterLabel('m', f'a{number}') for number in range(count)]
