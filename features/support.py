"""Helpers for the steps."""

from behave.runner import Context

from standins.virtual_fleet import Answer, VirtualFleet, Work
from tests.oracle import Oracle, document_of


def fleet_of(context: Context) -> VirtualFleet:
    """Return the scenario's fleet."""
    fleet: VirtualFleet = context.machine.fleet
    return fleet


def oracle_of(context: Context) -> Oracle:
    """Return the scenario's oracle."""
    oracle: Oracle = context.machine.oracle
    return oracle


def send(context: Context, vm: str, adapter: str, key: str = 'a0') -> None:
    """Send a completion request and record it in ``context.last``."""
    context.last.append(fleet_of(context).next_request())
    work = Work(10, 20)
    context.machine._send(vm, key, f'base:{adapter}', adapter, work)


def last_answers(context: Context) -> list[Answer]:
    """Return the responses to the last requests."""
    return [fleet_of(context).answers[request] for request in context.last]


def apply(context: Context, vm: str, cfg: object, op_id: str) -> str:
    """Apply a configuration and return the operation's id."""
    fleet = fleet_of(context)
    node = fleet.hosts[vm].node
    assert node
    return fleet.apply(vm, op_id, node.published.revision, document_of(cfg))


def split_names(listing: str) -> list[str]:
    """Return the names in a comma-separated list."""
    return [name.strip() for name in listing.split(',')]
