"""The replicated state machine of the control VMs.

Every replica applies the committed commands of the log in order.
"""

import hashlib
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from ._claimtable import Claim, ClaimTable
from ._commands import (
    Applied,
    ApplyConfig,
    ClaimCall,
    Command,
    Conflict,
    CrashNoted,
    FinishCall,
    NameVersion,
    Outcome,
    PutConfig,
    RecordDeparture,
    RemoveVm,
    ReportCrash,
    SetHolders,
    SetRoster,
    SetZoneOut,
)
from .agreement._roster import Roster, find_entry, without_vm
from .duties._state import (
    CommitUsage,
    ConfirmDesired,
    ConfirmUsage,
    DutyCommand,
    DutyState,
    SetDesired,
    SetDutyHolder,
    apply_duty_command,
)
from .quarantine._state import (
    ClearSubjects,
    JudgeCrash,
    QuarantineState,
    StartTrial,
    TargetCrash,
    clear_subjects,
    judge_crash,
    record_crash,
    start_trial,
)
from .streams._software import PoolSoftware, SetSoftware, set_software

MAX_STORED_OPERATIONS: Final = 20_000
QUARANTINE_CRASH_COUNT: Final = 2  # crashes of distinct incarnations
SUSPICION_RETENTION_S: Final = 3_600.0
MAX_DEPARTURES: Final = 1_024


class Operation(NamedTuple):
    """The recorded result of an operator's configuration change.

    A repeated request with the same ``op_id`` gets this result again.
    ``digest`` is the SHA-256 of the document.
    """

    op_id: str
    digest: str
    applied: bool
    revision: int
    reason: str = ''


class Suspicion(NamedTuple):
    """The target incarnations that crashed while running a request."""

    fingerprint: str
    incarnations: tuple[str, ...]
    at: float  # s


class AdapterVersion(NamedTuple):
    """The newest registered version of an adapter."""

    model: str
    adapter: str
    version: int


class PublishedState(NamedTuple):
    """The part of the replicated state that is published to every VM."""

    version: int = 0  # increases with every change of any field
    revision: int = 0  # increases with every change of the document
    document: str = '{}'
    roster: Roster = ()
    suspects: tuple[str, ...] = ()  # fingerprints with one crash
    quarantined: tuple[str, ...] = ()  # fingerprints with two or more
    zones_out: tuple[str, ...] = ()
    adapter_versions: tuple[AdapterVersion, ...] = ()
    software: tuple[PoolSoftware, ...] = ()


class HolderSet(NamedTuple):
    """A former list of the control VMs that send orders to engines."""

    vms: tuple[str, ...]


class HolderState(NamedTuple):
    """The control VMs that send orders to engines.

    Orders sent by the VMs in the ``former`` lists may still be in transit.
    """

    epoch: int = 0  # increases with every change of ``vms``
    vms: tuple[str, ...] = ()
    former: tuple[HolderSet, ...] = ()


class Departure(NamedTuple):
    """The newest incarnation of a target that is leaving, or is gone."""

    target: str
    incarnation: int


class StateSnapshot(NamedTuple):
    """A snapshot of the complete replicated state."""

    published: PublishedState = PublishedState()
    operations: tuple[Operation, ...] = ()
    claims: tuple[Claim, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    holders: HolderState = HolderState()
    departures: tuple[Departure, ...] = ()  # oldest first
    quarantine: QuarantineState = QuarantineState()
    duties: DutyState | None = None  # if there are any


class ReplicatedState:
    """Applies committed commands deterministically on every replica."""

    def __init__(self) -> None:
        self.published = PublishedState()
        self.holders = HolderState()
        self.departures: tuple[Departure, ...] = ()  # oldest first
        self.quarantine = QuarantineState()
        self.duties = DutyState()
        self._operations: dict[str, Operation] = {}
        self._claims = ClaimTable()
        self._suspicions: dict[str, Suspicion] = {}
        self._handlers: dict[type, Callable[[Any], Outcome]] = {
            ApplyConfig: self._apply_config,
            PutConfig: self._put_config,
            SetZoneOut: self._set_zone_out,
            NameVersion: self._name_version,
            SetRoster: self._set_roster,
            RemoveVm: self._remove_vm,
            ClaimCall: self._claims.claim,
            FinishCall: self._finish,
            ReportCrash: self._report_crash,
            SetHolders: self._set_holders,
            RecordDeparture: self._record_departure,
            TargetCrash: self._record_target_crash,
            ClearSubjects: self._clear_subjects,
            JudgeCrash: self._judge_crash,
            StartTrial: self._start_trial,
            SetSoftware: self._set_software,
            CommitUsage: self._apply_to_duties,
            ConfirmUsage: self._apply_to_duties,
            SetDutyHolder: self._apply_to_duties,
            SetDesired: self._apply_to_duties,
            ConfirmDesired: self._apply_to_duties,
        }

    def apply(self, command: Command) -> Outcome:
        """Apply one committed command and return its outcome."""
        handler = self._handlers.get(type(command))
        if handler is None:
            return self._applied()
        return handler(command)

    def to_snapshot(self) -> StateSnapshot:
        """Return a snapshot of the complete state."""
        return StateSnapshot(
            self.published,
            tuple(self._operations.values()),
            self._claims.to_snapshot(),
            tuple(self._suspicions.values()),
            self.holders,
            self.departures,
            self.quarantine,
            self.duties if self.duties != DutyState() else None,
        )

    def restore(self, snapshot: StateSnapshot) -> None:
        """Replace the complete state with a snapshot."""
        self.published = snapshot.published
        self.holders = snapshot.holders
        self.departures = snapshot.departures
        self.quarantine = snapshot.quarantine
        self.duties = snapshot.duties or DutyState()
        self._operations = {
            operation.op_id: operation for operation in snapshot.operations
        }
        self._claims.restore(snapshot.claims)
        self._suspicions = {
            suspicion.fingerprint: suspicion
            for suspicion in snapshot.suspicions
        }

    def _applied(self) -> Applied:
        return Applied(self.published.revision)

    def _publish(self, **changes: object) -> None:
        changed = self.published._replace(**changes)  # type: ignore[arg-type]
        if changed != self.published:
            version = self.published.version + 1
            self.published = changed._replace(version=version)

    def _apply_config(self, command: ApplyConfig) -> Outcome:
        digest = hashlib.sha256(command.document.encode()).hexdigest()
        known = self._operations.get(command.op_id)
        if known is None:
            known = self._record_operation(command, digest)
        elif known.digest != digest:
            return Conflict('operation id has another body', known.revision)
        if known.applied:
            return Applied(known.revision)
        return Conflict(known.reason, known.revision)

    def _put_config(self, command: PutConfig) -> Outcome:
        current = self.published.revision
        if command.revision > current:
            self._publish(
                revision=command.revision,
                document=command.document,
            )
        same = command.document == self.published.document
        if command.revision == current and not same:
            return Conflict(f'revision {current} has other content', current)
        return self._applied()

    def _set_zone_out(self, command: SetZoneOut) -> Outcome:
        zones = set(self.published.zones_out) - {command.zone}
        if command.out:
            zones.add(command.zone)
        self._publish(zones_out=tuple(sorted(zones)))
        return self._applied()

    def _name_version(self, command: NameVersion) -> Outcome:
        versions = {
            (known.model, known.adapter): known
            for known in self.published.adapter_versions
        }
        registered = AdapterVersion(*command)
        known = versions.get((registered.model, registered.adapter))
        if known is None or registered.version > known.version:
            versions[registered.model, registered.adapter] = registered
        self._publish(adapter_versions=tuple(versions.values()))
        return self._applied()

    def _record_operation(
        self,
        command: ApplyConfig,
        digest: str,
    ) -> Operation:
        revision = self.published.revision
        applied = command.expected == revision
        if applied:
            revision += 1
            self._publish(revision=revision, document=command.document)
        reason = '' if applied else f'revision is {revision}'
        operation = Operation(
            command.op_id,
            digest,
            applied,
            revision,
            reason,
        )
        self._operations[command.op_id] = operation
        if len(self._operations) > MAX_STORED_OPERATIONS:
            self._operations.pop(next(iter(self._operations)))
        return operation

    def _set_roster(self, command: SetRoster) -> Outcome:
        if command.expected_version != self.published.version:
            return Conflict('roster has changed', self.published.revision)
        self._publish(roster=command.roster)
        return self._applied()

    def _remove_vm(self, command: RemoveVm) -> Outcome:
        if find_entry(self.published.roster, command.vm) is None:
            return Conflict('no such VM', self.published.revision)
        self._publish(roster=without_vm(self.published.roster, command.vm))
        return self._applied()

    def _set_holders(self, command: SetHolders) -> Outcome:
        current = self.holders
        if command.expected != current.epoch:
            return Conflict('holders have changed', self.published.revision)
        if command.vms == current.vms:
            self.holders = current._replace(former=())
        else:
            former = (
                (*current.former, HolderSet(current.vms)) if current.vms else ()
            )
            self.holders = HolderState(current.epoch + 1, command.vms, former)
        return self._applied()

    def _record_departure(self, command: RecordDeparture) -> Outcome:
        incarnation = command.incarnation
        others: list[Departure] = []
        for known in self.departures:
            if known.target == command.target:
                incarnation = max(incarnation, known.incarnation)
            else:
                others.append(known)
        newest = Departure(command.target, incarnation)
        self.departures = (*others, newest)[-MAX_DEPARTURES:]
        return self._applied()

    def _record_target_crash(self, command: TargetCrash) -> Outcome:
        self.quarantine = record_crash(self.quarantine, command)
        return self._applied()

    def _judge_crash(self, command: JudgeCrash) -> Outcome:
        self.quarantine = judge_crash(self.quarantine, command)
        return self._applied()

    def _clear_subjects(self, command: ClearSubjects) -> Outcome:
        self.quarantine = clear_subjects(self.quarantine, command)
        return self._applied()

    def _start_trial(self, command: StartTrial) -> Outcome:
        self.quarantine = start_trial(self.quarantine, command)
        return self._applied()

    def _set_software(self, command: SetSoftware) -> Outcome:
        self._publish(software=set_software(self.published.software, command))
        return self._applied()

    def _apply_to_duties(self, command: DutyCommand) -> Outcome:
        self.duties = apply_duty_command(self.duties, command)
        return self._applied()

    def _finish(self, command: FinishCall) -> Outcome:
        self._claims.finish(command)
        return self._applied()

    def _report_crash(self, command: ReportCrash) -> Outcome:
        incarnation = f'{command.target}#{command.incarnation}'
        for fingerprint in command.fingerprints:
            known = self._suspicions.get(fingerprint)
            seen = known.incarnations if known else ()
            if incarnation not in seen:
                seen = (*seen, incarnation)
            self._suspicions[fingerprint] = Suspicion(
                fingerprint,
                seen,
                command.at,
            )
        self._publish_suspicions(command.at)
        quarantined = self.published.quarantined
        return CrashNoted(
            tuple(
                digest
                for digest in command.fingerprints
                if digest in quarantined
            ),
        )

    def _publish_suspicions(self, now: float) -> None:
        self._suspicions = {
            suspicion.fingerprint: suspicion
            for suspicion in self._suspicions.values()
            if now - suspicion.at <= SUSPICION_RETENTION_S
        }
        suspects = []
        quarantined = []
        for suspicion in self._suspicions.values():
            if len(suspicion.incarnations) >= QUARANTINE_CRASH_COUNT:
                quarantined.append(suspicion.fingerprint)
            else:
                suspects.append(suspicion.fingerprint)
        self._publish(
            suspects=tuple(suspects),
            quarantined=tuple(quarantined),
        )
