"""Tests of how entry VMs find and choose targets."""

from collections import Counter

import pytest
from lovagemast_core import PublishedState
from lovagemast_core.entry import (
    Choice,
    FleetView,
    KnownTarget,
    NoReadyTarget,
    SelectionCriteria,
    TargetHealth,
    TargetRequirements,
    _selection,
    choose_target,
    find_candidates,
)
from lovagemast_core.targets import (
    ResidentAdapter,
    SyncReply,
    TargetRecord,
)

NOW = 50.0


def make_view(*records: TargetRecord, out: tuple[str, ...] = ()) -> FleetView:
    """Return a view of some targets, with the zones in ``out`` taken out."""
    view = FleetView()
    reply = SyncReply(1, True, 'c', 1, 0.0, PublishedState(1, zones_out=out))
    view.apply(reply._replace(targets=records), NOW - 5, NOW - 5)
    return view


def make_record(target: str, **changes: object) -> TargetRecord:
    """Return an engine that holds ``m/a1``."""
    record = TargetRecord(
        target,
        'pool',
        f'{target}:80',
        'z1',
        1,
        8,
        leaving=False,
        cold_s=0.0,
        models=('m',),
        adapters=(ResidentAdapter('m/a1@0', 0.0),),
    )
    return record._replace(**changes)  # type: ignore[arg-type]


class TestSearchCost:
    @pytest.mark.parametrize(('adapter', 'visited'), [('a7', 2), ('', 300)])
    def test_only_holders_are_visited(
        self, adapter: str, visited: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The search for an adapter's holders does not visit all targets.

        Each waiting request repeats it whenever something changes.
        """
        records = [
            make_record(
                f't{number}',
                adapters=(ResidentAdapter(f'm/a{number % 150}@0', 0.0),),
            )
            for number in range(300)
        ]
        view = make_view(*records)
        calls = []
        convert = _selection._to_candidate

        def count(known: KnownTarget, *others: object) -> object:
            calls.append(known)
            return convert(known, *others)  # type: ignore[arg-type]

        monkeypatch.setattr(_selection, '_to_candidate', count)
        requirements = TargetRequirements('pool', 'm', adapter)
        found = list(find_candidates(view, requirements, NOW))
        assert (len(found), len(calls)) == (visited, visited)

    def test_index_follows_changes(self) -> None:
        """Targets that lose an adapter, or are removed, are not found."""
        view = make_view(make_record('t1'), make_record('t2'))
        reply = SyncReply(2, True, 'c', 1, 0.0, removed=('t2',))
        emptied = make_record('t1', adapters=())
        requirements = TargetRequirements('pool', 'm', 'a1')
        view.apply(reply._replace(targets=(emptied,)), NOW, NOW)
        assert not list(find_candidates(view, requirements, NOW))
        view.apply(reply._replace(targets=(make_record('t1'),)), NOW, NOW)
        found = find_candidates(view, requirements, NOW)
        assert [one.target for one in found] == ['t1']


def choose(
    view: FleetView,
    loads: dict[str, float],
    health: TargetHealth | None = None,
    tried: frozenset[str] = frozenset(),
    adapter: str = 'a1',
) -> Choice | NoReadyTarget:
    """Choose among the targets of a view, given the load of each."""
    criteria = SelectionCriteria(
        health or TargetHealth(),
        lambda known: loads.get(known.record.target, 0.0),
        lambda _known: True,
        tried,
        'z1',
    )
    requirements = TargetRequirements('pool', 'm', adapter)
    return choose_target(
        find_candidates(view, requirements, NOW),
        criteria,
        NOW,
    )


def target_of(choice: Choice | NoReadyTarget) -> str | None:
    """Return the chosen target, ``None`` if there is none."""
    return choice.candidate.target if isinstance(choice, Choice) else None


class TestTies:
    def test_entry_vms_differ(self) -> None:
        """Entry VMs that see equal loads do not all choose the same target."""
        records = [make_record(f't{number}') for number in range(6)]
        view = make_view(*records)
        requirements = TargetRequirements('pool', 'm', 'a1')
        chosen: Counter[str] = Counter()
        for number in range(120):
            criteria = SelectionCriteria(
                TargetHealth(),
                lambda _known: 0.5,
                lambda _known: True,
                frozenset(),
                'z1',
                f'e{number}',
            )
            candidates = find_candidates(view, requirements, NOW)
            choice = choose_target(candidates, criteria, NOW)
            assert isinstance(choice, Choice)
            chosen[choice.candidate.target] += 1
        assert len(chosen) == 6
        assert max(chosen.values()) <= 2 * 120 / 6


class TestChoice:
    def test_least_loaded(self) -> None:
        """The least loaded target is chosen."""
        view = make_view(make_record('t1'), make_record('t2'))
        assert target_of(choose(view, {'t1': 0.5, 't2': 0.2})) == 't2'

    @pytest.mark.parametrize(
        'changes',
        [
            {'leaving': True},
            {'zone': 'z2'},
            {'pool': 'other'},
            {'adapters': ()},
        ],
    )
    def test_unusable(self, changes: dict[str, object]) -> None:
        """Targets that cannot serve the request are never chosen.

        They are leaving, in a zone taken out, in another pool or without
        the adapter.
        """
        view = make_view(make_record('t1', **changes), out=('z2',))
        assert target_of(choose(view, {})) is None

    def test_waits_for_a_load(self) -> None:
        """The result tells when an adapter that is loading will be ready."""
        loading = (ResidentAdapter('m/a1@0', 5.5),)
        choice = choose(make_view(make_record('t1', adapters=loading)), {})
        assert choice == NoReadyTarget(1, NOW + 0.5)

    def test_failing_target_gets_less(self) -> None:
        """A failing target is passed over for a much busier one."""
        health = TargetHealth()
        for _failure in range(6):
            health.record_failure('t1', NOW)
        view = make_view(make_record('t1'), make_record('t2'))
        assert target_of(choose(view, {'t2': 0.9}, health)) == 't2'

    def test_unreachable_target_is_left(self) -> None:
        """A target that could not be reached is in back-off."""
        health = TargetHealth()
        health.record_unreachable('t1', NOW)
        assert (
            target_of(choose(make_view(make_record('t1')), {}, health)) is None
        )

    @pytest.mark.parametrize(
        ('targets', 'chosen'),
        [(('t1', 't2'), 't2'), (('t1',), 't1')],
    )
    def test_tried_target_comes_last(
        self,
        targets: tuple[str, ...],
        chosen: str,
    ) -> None:
        """A target that had the request is used only if no other is left."""
        view = make_view(*(make_record(one) for one in targets))
        tried = frozenset(('t1',))
        assert target_of(choose(view, {'t2': 0.9}, tried=tried)) == chosen

    def test_base_model_needs_no_adapter(self) -> None:
        """A request for the base model needs only an engine with that model."""
        view = make_view(make_record('t1', adapters=()))
        assert target_of(choose(view, {}, adapter='')) == 't1'
