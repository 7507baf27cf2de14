"""Steps on a fleet in virtual time."""

from behave import given, then, when
from behave.runner import Context
from lovagemast_core import (
    DrainRequested,
    EventKind,
)

from features.support import (
    fleet_of,
    last_answers,
    oracle_of,
    send,
)
from tests.fleetconfig import (
    ENTRIES,
    LIMITS,
    VMS,
)
from tests.fleetmachine import FleetMachine

ANSWER_S = 20.0


@given('a fleet that serves two client accounts')
def start_fleet(context: Context) -> None:
    """Start five VMs, six engines and two services."""
    context.machine = FleetMachine()
    context.machine.start(seed=7)
    assert set(LIMITS) == {'a', 'b'}
    assert len(ENTRIES) == len(VMS)


@given('adapter "{adapter}" has been popular for {seconds:d} s')
def make_popular(context: Context, adapter: str, seconds: int) -> None:
    """Send requests for one adapter, then wait for the responses."""
    for _ in range(seconds * 2):
        send(context, 'vm1', adapter)
        send(context, 'vm4', adapter)
        fleet_of(context).run_for(0.5)
    fleet_of(context).run_for(5)


@when('adapter "{adapter}" is popular for {seconds:d} s more')
def keep_popular(context: Context, adapter: str, seconds: int) -> None:
    """Send requests for one adapter at all VMs."""
    for _ in range(seconds * 2):
        for vm in VMS:
            send(context, vm, adapter)
        fleet_of(context).run_for(0.5)


@then('the limit of target "{name}" was reset')
def limit_was_reset(context: Context, name: str) -> None:
    """Check that the owner detected the cold start."""
    kinds = [
        event.kind
        for event in fleet_of(context).timeline
        if event.target == name
    ]
    assert EventKind.LIMIT_RESET in kinds


@then('every request is eventually answered completely')
def eventually_answered(context: Context) -> None:
    """Check all requests of the scenario, however slow they are."""
    fleet_of(context).run_for(60)
    oracle_of(context).check_whole_answers()
    oracle_of(context).check_all_answered()


@when('{count:d} requests arrive for adapter "{adapter}" at every VM')
def arrive(context: Context, count: int, adapter: str) -> None:
    """Send requests at all VMs."""
    context.last = []
    for vm in VMS:
        for _ in range(count):
            send(context, vm, adapter)
    fleet_of(context).run_for(0.05)


@when('a request with the key "{key}" arrives at every VM')
def arrive_with_key(context: Context, key: str) -> None:
    """Send one request with a key at all VMs."""
    context.last = []
    for vm in VMS:
        send(context, vm, 'ad0@1', key)


@when('a request with the key "{key}" arrives at "{vm}"')
def arrive_at(context: Context, key: str, vm: str) -> None:
    """Send one request with a key at a VM."""
    context.last = []
    send(context, vm, 'ad0@1', key)


@when('{seconds:g} s pass')
def pass_time(context: Context, seconds: float) -> None:
    """Advance the virtual clock."""
    fleet_of(context).run_for(seconds)


@then('every request is answered completely on its own adapter')
def answered_completely(context: Context) -> None:
    """Check the last requests and all invariants."""
    fleet_of(context).run_for(ANSWER_S)
    for answer in last_answers(context):
        assert answer.complete, answer.refusal
    oracle_of(context).check()


@then('the last requests are answered completely')
def last_answered_completely(context: Context) -> None:
    """Check the last requests."""
    answered_completely(context)


@then('every request is answered, or refused as not run')
def answered_or_refused(context: Context) -> None:
    """Check that every request has exactly one outcome."""
    fleet_of(context).run_for(ANSWER_S)
    for answer in last_answers(context):
        assert answer.end_count == 1
        assert answer.complete or answer.refusal.run.value == 'not-run'
    oracle_of(context).check()


@then('every request is answered within {limit:d} s')
def answered_within(context: Context, limit: int) -> None:
    """Check that the last requests end in time."""
    fleet_of(context).run_for(limit)
    for answer in last_answers(context):
        assert answer.complete, answer.refusal
    oracle_of(context).check()


@then('no adapter in use was evicted')
def none_evicted(context: Context) -> None:
    """Check the violations that the targets recorded."""
    oracle_of(context).check_in_use_not_evicted()


@then('no cold target exceeded its concurrency limit')
def none_over_limit(context: Context) -> None:
    """Check the violations that the targets recorded."""
    oracle_of(context).check_cold_start()


@then('the last requests are refused with "{reason}" as not run')
def refused_as_not_run(context: Context, reason: str) -> None:
    """Check the refusals of the last requests."""
    fleet_of(context).run_for(ANSWER_S)
    for answer in last_answers(context):
        assert answer.refusal, answer.chunks
        assert answer.refusal.reason.value == reason, answer.refusal
        assert answer.refusal.run.value == 'not-run'
    oracle_of(context).check()


@when('target "{name}" restarts after {pause:g} s')
def restart_target(context: Context, name: str, pause: float) -> None:
    """Crash a target and restart it without adapters, in cold start."""
    target = fleet_of(context).targets[name]
    target.crash(fleet_of(context).now)
    fleet_of(context).run_for(pause)
    target.restart('i1', concurrency_limit=1)


@when('target "{name}" returns to cold start')
def return_to_cold_start(context: Context, name: str) -> None:
    """Lower a target's concurrency limit to one, without a restart."""
    target = fleet_of(context).targets[name]
    target.concurrency_limit = 1
    target.violations = []


@when('target "{name}" stops responding')
def stop_responding(context: Context, name: str) -> None:
    """Stop all responses of a target."""
    fleet_of(context).targets[name].silent = True


@given('the next {count:d} loads fail at every target')
def fail_loads(context: Context, count: int) -> None:
    """Make the next loads fail."""
    for target in fleet_of(context).targets.values():
        target.fail_loads = count


@given('"{vm}" is partitioned from all other VMs')
def partition_vm(context: Context, vm: str) -> None:
    """Drop all messages from and to a VM."""
    others = [other for other in VMS if other != vm]
    fleet_of(context).partition([vm], others)
    oracle_of(context).isolate([vm])


@when('zone "{zone}" is partitioned for {seconds:d} s')
def partition_zone(context: Context, zone: str, seconds: int) -> None:
    """Partition a zone and its targets from the rest."""
    context.machine.cut_zone(zone, seconds)


@when('the partition ends')
def end_partition(context: Context) -> None:
    """End all network partitions."""
    context.machine.heal()
    fleet_of(context).run_for(3)


@when('zone "{zone}" is taken out')
def take_out(context: Context, zone: str) -> None:
    """Take a zone out of service."""
    context.machine.set_zone('vm0', zone, True)


@then('no target of zone "{zone}" ran the last requests')
def zone_unused(context: Context, zone: str) -> None:
    """Check where the last requests ran."""
    for target in fleet_of(context).targets.values():
        if target.facts.zone == zone:
            ran = {execution.request for execution in target.executions}
            assert not ran.intersection(context.last)


@when('a request that crashes its target arrives at "{vm}"')
def send_crashing(context: Context, vm: str) -> None:
    """Send a request that crashes each target that runs it."""
    context.machine.deadly(vm, 'base')
    for _ in range(10):
        fleet_of(context).run_for(0.5)
        context.machine._revive_targets()


@when('its caller sends it again at "{one}", "{two}" and "{three}"')
def resend_crashing(
    context: Context,
    one: str,
    two: str,
    three: str,
) -> None:
    """Resend the same request at one VM after the other."""
    for vm in (one, two, three):
        context.last = [fleet_of(context).next_request()]
        send_crashing(context, vm)


@then('at most {count:d} targets have crashed')
def crashed_at_most(context: Context, count: int) -> None:
    """Check how often targets were restarted."""
    crashes = [
        target.facts.incarnation.count('+')
        for target in fleet_of(context).targets.values()
    ]
    assert sum(crashes) <= count, crashes


@when('"{vm}" is shut down gracefully')
def shut_down(context: Context, vm: str) -> None:
    """Drain a VM and stop it once it is drained."""
    fleet = fleet_of(context)
    host = fleet.hosts[vm]
    fleet.feed(vm, DrainRequested())
    assert host.node
    for _ in range(60):
        fleet.run_for(0.5)
        if host.node.is_drained(host.clock(fleet.now)):
            fleet.crash(vm)
            return
    raise AssertionError('the VM did not drain')
