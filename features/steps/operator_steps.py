"""Steps of operators: changes, keys, conflicts and lost VMs."""

import copy

from behave import then, when
from behave.runner import Context
from lovagemast_core import Applied, Outcome

from features.support import apply, fleet_of, oracle_of, split_names
from tests.fleetconfig import VMS, base_configuration
from tests.oracle import document_of


@when('the key "{key}" is withdrawn at "{vm}"')
def withdraw(context: Context, key: str, vm: str) -> None:
    """Withdraw a key at a VM."""
    context.machine.withdraw_key(vm, key)


@when('{count:d} changes are applied at "{vm}"')
def apply_changes(context: Context, count: int, vm: str) -> None:
    """Apply changes one after the other."""
    for number in range(count):
        cfg = copy.deepcopy(base_configuration())
        cfg['draining_vms'] = [f'none{number}']
        context.document = document_of(cfg)
        operation = apply(context, vm, cfg, f'{vm}-{number}')
        fleet_of(context).run_for(0.3)
        outcome = fleet_of(context).outcomes[operation]
        assert isinstance(outcome, Applied), outcome
        context.revision = outcome.revision


@then('the changes are in force at "{listed}" within {seconds:d} s')
def in_force_within(context: Context, listed: str, seconds: int) -> None:
    """Check the revision and document in force at some VMs."""
    fleet_of(context).run_for(seconds)
    for vm in split_names(listed):
        node = fleet_of(context).hosts[vm].node
        assert node
        assert node.published.revision == context.revision, vm
        assert node.published.document == context.document, vm


@then('all accepted changes are in force at "{listed}"')
def in_force(context: Context, listed: str) -> None:
    """Check the revision and document in force at some VMs."""
    in_force_within(context, listed, 0)


@then('no configuration was reverted')
def none_reverted(context: Context) -> None:
    """Check the configurations that were in force at every VM."""
    oracle_of(context).check_configuration()


@when('two changes are applied at "{one}" and "{other}" at the same revision')
def conflict(context: Context, one: str, other: str) -> None:
    """Apply two different changes at the same revision."""
    context.changes = []
    for number, vm in enumerate((one, other)):
        cfg = copy.deepcopy(base_configuration())
        cfg['draining_vms'] = [f'race{number}']
        operation = apply(context, vm, cfg, f'race-{number}')
        context.changes.append((operation, cfg, f'race-{number}'))
    fleet_of(context).run_for(2)


def conflict_outcomes(context: Context) -> list[Outcome]:
    """Return the outcomes of the conflicting changes."""
    outcomes = fleet_of(context).outcomes
    return [outcomes[operation] for operation, _, _ in context.changes]


@then('exactly one of them is accepted')
def one_accepted(context: Context) -> None:
    """Check the outcomes of the conflicting changes."""
    accepted = [
        outcome
        for outcome in conflict_outcomes(context)
        if isinstance(outcome, Applied)
    ]
    assert len(accepted) == 1


@when('the accepted change is sent again at "{vm}"')
def resend(context: Context, vm: str) -> None:
    """Resend a change, as after a lost response."""
    outcomes = conflict_outcomes(context)
    for (_, cfg, op_id), outcome in zip(
        context.changes,
        outcomes,
        strict=True,
    ):
        if isinstance(outcome, Applied):
            context.first_outcome = outcome
            fleet = fleet_of(context)
            expected = outcome.revision - 1
            document = document_of(cfg)
            context.resent_operation = fleet.apply(
                vm, op_id, expected, document
            )
    fleet_of(context).run_for(2)


@then('it is accepted as the same revision')
def same_revision(context: Context) -> None:
    """Check that the resent change had no second effect."""
    assert (
        fleet_of(context).outcomes[context.resent_operation]
        == context.first_outcome
    )


@when('"{vm}" loses its disk and comes back')
def lose_disk(context: Context, vm: str) -> None:
    """Crash a control VM and restart it with an empty disk."""
    context.machine._crash(vm)
    fleet_of(context).run_for(1)
    fleet_of(context).start(vm, lost_disk=True)


@when('"{vm}" is lost')
def lose(context: Context, vm: str) -> None:
    """Crash a VM without a restart."""
    context.machine._crash(vm)


@then('a change can be applied at "{vm}"')
def can_apply(context: Context, vm: str) -> None:
    """Apply one more change."""
    apply_changes(context, 1, vm)


@when('every VM is restarted')
def restart_all(context: Context) -> None:
    """Crash all VMs at once and start them again."""
    for vm in VMS:
        context.machine._crash(vm)
    for vm in VMS:
        fleet_of(context).start(vm)
