"""The replicated state of the duties, and the commands that change it."""

from typing import Final, NamedTuple

from .._types import VmName, ZoneName
from ._records import ScaleOrder, UsageReport

MAX_UNCONFIRMED: Final = 64  # windows; older ones are far too late
MAX_DESIRED: Final = 1_024


class CommitUsage(NamedTuple):
    """Fixes the counts of a window, unless it or a later one is fixed."""

    report: UsageReport


class ConfirmUsage(NamedTuple):
    """Records that the infrastructure has taken a window's counts."""

    window: int


class SetDutyHolder(NamedTuple):
    """Replaces the VM that calls the infrastructure.

    It takes effect only if the epoch is ``expected``. Proposing the current
    VM again confirms that no call of the former one is still under way.
    """

    expected: int
    vm: VmName
    at: float  # s since the epoch, for operators


class SetDesired(NamedTuple):
    """Replaces the number of targets wanted in an availability zone."""

    pool: str
    zone: ZoneName
    desired: int


class ConfirmDesired(NamedTuple):
    """Records that the infrastructure has taken a number of targets."""

    pool: str
    zone: ZoneName
    number: int  # of the :class:`DesiredCount`


class DesiredCount(NamedTuple):
    """The number of targets wanted for a pool in an availability zone."""

    pool: str
    zone: ZoneName
    desired: int
    number: int  # increases with each change of any of them
    is_confirmed: bool = False

    @property
    def order(self) -> ScaleOrder:
        """Return the call that orders it."""
        return ScaleOrder(self.pool, self.zone, self.desired)


class DutyState(NamedTuple):
    """The holder, the usage to report and the numbers of targets."""

    epoch: int = 0  # increases with each change of the holder
    holder: VmName = ''
    holder_at: float = 0.0  # s since the epoch
    is_settled: bool = False  # no call of a former holder is under way
    last_window: int = 0  # the newest committed one
    confirmed_window: int = 0  # the newest confirmed one
    unconfirmed: tuple[UsageReport, ...] = ()  # committed, oldest first
    desired: tuple[DesiredCount, ...] = ()
    number: int = 0  # of the newest change of ``desired``


DutyCommand = (
    CommitUsage | ConfirmUsage | SetDutyHolder | SetDesired | ConfirmDesired
)


def apply_duty_command(state: DutyState, command: DutyCommand) -> DutyState:
    """Return the state after a command; the same if it has no effect."""
    match command:
        case CommitUsage(report):
            return _commit_usage(state, report)
        case ConfirmUsage(window):
            return _confirm_usage(state, window)
        case SetDutyHolder():
            return _set_holder(state, command)
        case SetDesired():
            return _set_desired(state, command)
        case ConfirmDesired():
            return _confirm_desired(state, command)


def _commit_usage(state: DutyState, report: UsageReport) -> DutyState:
    if report.window <= state.last_window:
        return state
    unconfirmed = (*state.unconfirmed, report)[-MAX_UNCONFIRMED:]
    return state._replace(last_window=report.window, unconfirmed=unconfirmed)


def _confirm_usage(state: DutyState, window: int) -> DutyState:
    left = tuple(one for one in state.unconfirmed if one.window != window)
    if len(left) == len(state.unconfirmed):
        return state
    newest = max(state.confirmed_window, window)
    return state._replace(unconfirmed=left, confirmed_window=newest)


def _set_holder(state: DutyState, command: SetDutyHolder) -> DutyState:
    if command.expected != state.epoch:
        return state
    if command.vm == state.holder:
        return state._replace(is_settled=True)
    return state._replace(
        epoch=state.epoch + 1,
        holder=command.vm,
        holder_at=command.at,
        is_settled=False,
    )


def _set_desired(state: DutyState, command: SetDesired) -> DutyState:
    others = []
    for known in state.desired:
        if (known.pool, known.zone) != (command.pool, command.zone):
            others.append(known)
        elif known.desired == command.desired:
            return state
    number = state.number + 1
    added = DesiredCount(*command, number)
    desired = (*others, added)[-MAX_DESIRED:]
    return state._replace(desired=desired, number=number)


def _confirm_desired(state: DutyState, command: ConfirmDesired) -> DutyState:
    desired = tuple(
        known._replace(is_confirmed=True)
        if (known.pool, known.zone, known.number) == command
        else known
        for known in state.desired
    )
    return state._replace(desired=desired)
