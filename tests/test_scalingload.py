"""Tests of what a leader knows of targets and load, for their counts."""

from lovagemast_core import PublishedState
from lovagemast_core.adapters import AdapterLabel, TargetReport
from lovagemast_core.control import FleetController, observe_scaling
from lovagemast_core.deployment import (
    Deployment,
    DeploymentIndex,
    EngineSpec,
    ModelSpec,
    PoolSpec,
    ScalingSpec,
)
from lovagemast_core.quota import QuotaBounds
from lovagemast_core.scaling import PoolObservation, ZoneObservation
from lovagemast_core.targets import (
    AdapterUse,
    AdapterWish,
    SyncAsk,
    TargetHeartbeat,
)

SPEC = ScalingSpec(2, 9, 8.0)
ENGINE = EngineSpec(
    12, 1_000, 200.0, 8, 4.0, 200.0, (ModelSpec('m', 100.0, 2.0, 1.0),)
)
POOLS = (
    PoolSpec('engines', '/', 10, 0.0, 0.0, ENGINE, SPEC),
    PoolSpec('plain', '/', 10, 0.0, 0.0, None, SPEC),
    PoolSpec('fixed', '/', 10, 0.0, 0.0, ENGINE),
)
STARTED_AT = 50.0


def make_leader(pools: tuple[PoolSpec, ...] = POOLS) -> FleetController:
    """Return a leader with a configuration."""
    leader = FleetController(
        'l', takeover_s=3.0, quota=QuotaBounds(0.1, 8.0, 17_000.0)
    )
    published = PublishedState(1, 1, zones_out=('z1',))
    leader.apply_published(published, DeploymentIndex(Deployment(1, (), pools)))
    leader.start_term(4, ('l',), STARTED_AT)
    return leader


def beat(
    leader: FleetController,
    target: str,
    pool: str,
    zone: str,
    **changes: object,
) -> None:
    """Pass a target's heartbeat to a leader."""
    heartbeat = TargetHeartbeat(
        target, pool, f'{target}:80', zone, 12, False, 0.0, 1, 1, ('m',)
    )
    leader.on_heartbeat(heartbeat._replace(**changes), 60.0)  # type: ignore[arg-type]


def ask(
    leader: FleetController, vm: str, now: float, **changes: object
) -> None:
    """Pass a relay's sync request to a leader, and let it plan."""
    request = SyncAsk(1, vm, 'z0', 0, 0, 0, entries=5)
    leader.on_ask(request._replace(**changes), 0.0, now)  # type: ignore[arg-type]
    leader.plan(0.0, now)


def zones_of(leader: FleetController, pool: str) -> tuple[ZoneObservation, ...]:
    """Return what a leader observes of a pool."""
    found = observe_scaling(leader, 61.0)
    return next(one.zones for one in found.pools if one.pool == pool)


def test_targets_by_zone_and_state() -> None:
    """Each target counts once, leaving ones only with their requests.

    A count that includes targets which are about to go is too low.
    """
    leader = make_leader()
    beat(leader, 'e1', 'engines', 'z0')
    beat(leader, 'e2', 'engines', 'z0', cold_s=5.0)
    beat(leader, 'e3', 'engines', 'z0', models=())
    beat(leader, 'e4', 'engines', 'z0', leaving=True, remaining_s=2.0)
    beat(leader, 'e5', 'engines', 'z1')
    beat(leader, 'f1', 'fixed', 'z0')
    uses = tuple(AdapterUse(f'e{n}', 'm/a@1', n, 0) for n in range(1, 6))
    ask(leader, 'r1', 60.5, uses=uses)
    assert zones_of(leader, 'engines') == (
        ZoneObservation('z0', 1, 2, 1, 36, 10, in_service=True),
        ZoneObservation('z1', 1, 0, 0, 12, 5, in_service=False),
    )
    observed = observe_scaling(leader, 61.0)
    assert [one.pool for one in observed.pools] == ['engines', 'plain']


def test_plain_targets_have_load_too() -> None:
    """Requests without an adapter are reported like all others."""
    leader = make_leader()
    beat(leader, 'p1', 'plain', 'z0')
    ask(leader, 'r1', 60.5, uses=(AdapterUse('p1', '', 7, 3),))
    ask(leader, 'r2', 60.5, uses=(AdapterUse('p1', '', 4, 0),))
    assert zones_of(leader, 'plain')[0].requests == 11


def test_waiting_of_all_relays() -> None:
    """The newest wishes of each relay count, until it falls silent."""
    leader = make_leader()
    for vm, waiting in (('r1', 9), ('r1', 3), ('r2', 4)):
        wish = AdapterWish('engines', 'm', 'a', waiting, 0.0)
        ask(leader, vm, 60.5, wishes=(wish,))
    observed = observe_scaling(leader, 61.0).pools[0]
    assert observed == PoolObservation('engines', SPEC, 7, ())
    ask(leader, 'r2', 62.0, wishes=())
    assert observe_scaling(leader, 63.0).pools[0].waiting == 0


def test_reporting_entry_vms() -> None:
    """Entry VMs behind a silent relay, or one without uses, are unknown.

    The load of their requests would count as gone.
    """
    leader = make_leader()
    ask(leader, 'r1', 60.0, uses=())
    ask(leader, 'r2', 60.5, uses=())
    ask(leader, 'r3', 60.5, has_uses=False)
    assert observe_scaling(leader, 60.6).reporting == 10
    ask(leader, 'r1', 62.4, has_uses=False)
    ask(leader, 'r2', 62.4, uses=())
    assert observe_scaling(leader, 62.9).reporting == 10
    assert observe_scaling(leader, 63.2).reporting == 5
    assert observe_scaling(leader, 66.0).reporting == 0


def test_new_term_forgets() -> None:
    """A leader's second term begins without what it knew in the first."""
    leader = make_leader()
    ask(leader, 'r1', 60.5, uses=())
    leader.start_term(5, ('l',), 61.0)
    observed = observe_scaling(leader, 62.0)
    assert (observed.term, observed.reporting) == (5, 0)
    assert observed.led_s == 1.0


def test_nothing_without_scaling() -> None:
    """A deployment without scaling costs no pass over the targets."""
    leader = make_leader(POOLS[2:])
    beat(leader, 'f1', 'fixed', 'z0')
    assert observe_scaling(leader, 61.0).pools == ()
    assert observe_scaling(make_leader(()), 61.0).pools == ()


def test_engine_serves_once_its_model_is_loaded() -> None:
    """An engine without a model is cold until its report names one."""
    leader = make_leader()
    beat(leader, 'e1', 'engines', 'z0', models=())
    assert zones_of(leader, 'engines')[0].cold == 1
    label = AdapterLabel('m', 'a', 1)
    leader.on_report(
        TargetReport('e1', 0, False, ('m',), (label,), (), 0, 0), 60.5
    )
    assert zones_of(leader, 'engines')[0].ready == 1
