"""A simple oracle for the promises, over what a virtual fleet has done."""

import json
from typing import Any, NamedTuple

from lovagemast_core import Applied, EventKind, ExecutionStatus, TimelineEvent

from standins.virtual_fleet import VirtualFleet
from standins.virtual_target import Execution

FEW_SECONDS = 3.0
STALE_KEY_S = 10.0
CLOCK_TOLERANCE = 1.02
TOKEN_TOLERANCE = 0.01


class Sent(NamedTuple):
    """A request as its caller sent it."""

    request: str
    vm: str
    account: str
    key: str
    label: str  # empty for a plain service
    prompt_tokens: int
    output_tokens: int
    idempotency_key: str
    at: float


class Isolation(NamedTuple):
    """A time in which a VM could not reach the quorum, s."""

    start: float
    end: float


class Limit(NamedTuple):
    """An account's rate and burst over the whole fleet."""

    rate: float
    burst: float


class Oracle:
    """Remembers what was asked for and checks what came of it."""

    def __init__(self, fleet: VirtualFleet, limits: dict[str, Limit]) -> None:
        self.fleet = fleet
        self.limits = limits
        self.sent: dict[str, Sent] = {}
        self.withdrawn_at: dict[str, float] = {}
        self.zone_out_at: dict[str, float] = {}
        self.left_at: dict[str, float] = {}
        self.accepted: dict[int, str] = {}
        self.isolations: dict[str, list[Isolation]] = {}
        self.revisions: dict[tuple[str, int], int] = {}
        self.admissions: list[tuple[float, TimelineEvent]] = []
        self.crashed_requests: set[str] = set()
        self.left: set[str] = set()  # requests whose callers hung up
        fleet.on_event = self._on_event

    def check(self) -> None:
        """Check every promise on all that has happened so far.

        Raises :exc:`AssertionError` for a promise that was broken.
        """
        executions = sorted(
            execution
            for target in self.fleet.targets.values()
            for execution in target.executions
        )
        self.check_own_adapter(executions)
        self.check_in_use_not_evicted()
        self.check_keys(executions)
        self.check_rates(executions)
        self.check_cold_start()
        self.check_zones(executions)
        self.check_complete_responses()
        self.check_not_run(executions)
        self.check_at_most_once(executions)
        self.check_leaving(executions)
        self.check_configuration()

    def check_own_adapter(self, executions: list[Execution]) -> None:
        """Check that requests run on their own adapter and version."""
        for execution in executions:
            sent = self.sent[execution.request]
            assert execution.label == sent.label, execution

    def check_in_use_not_evicted(self) -> None:
        """Check that no adapter in use was evicted."""
        for name, target in self.fleet.targets.items():
            evicted = [one for one in target.violations if 'evicted' in one]
            assert not evicted, f'{name}: {evicted}'

    def check_keys(self, executions: list[Execution]) -> None:
        """Check that withdrawn keys stop working within seconds."""
        for execution in executions:
            sent = self.sent[execution.request]
            withdrawn_at = self.withdrawn_at.get(sent.key)
            if withdrawn_at is None:
                continue
            grace = STALE_KEY_S + FEW_SECONDS
            assert execution.at <= withdrawn_at + grace, execution
            if self.was_connected(execution.vm, withdrawn_at, execution.at):
                assert execution.at <= withdrawn_at + FEW_SECONDS, execution

    def check_rates(self, executions: list[Execution]) -> None:
        """Check every window of time against rates and bursts."""
        ran = {execution.request for execution in executions}
        levels = {
            account: (0.0, limit.burst)
            for account, limit in self.limits.items()
        }
        for now, event in self.admissions:
            at, level = levels[event.account]
            limit = self.limits[event.account]
            accrued = (now - at) * limit.rate * CLOCK_TOLERANCE
            level = min(limit.burst, level + accrued)
            level -= self._used(event, ran)
            assert level >= -TOKEN_TOLERANCE, (event, level)
            levels[event.account] = (now, level)

    def check_cold_start(self) -> None:
        """Check that cold targets got no more than they can bear."""
        for name, target in self.fleet.targets.items():
            over = [one for one in target.violations if 'calls' in one]
            assert not over, f'{name}: {over}'

    def check_zones(self, executions: list[Execution]) -> None:
        """Check that zones taken out get no new work after seconds."""
        for execution in executions:
            zone = self.fleet.targets[execution.target].facts.zone
            out_at = self.zone_out_at.get(zone)
            if out_at is None:
                continue
            if self.was_connected(execution.vm, out_at, execution.at):
                assert execution.at <= out_at + FEW_SECONDS, execution

    def check_complete_responses(self) -> None:
        """Check that answers are whole, single and the right ones."""
        for request, answer in self.fleet.answers.items():
            assert answer.end_count <= 1, request
            sent = self.sent[request]
            if answer.complete and sent.label and answer.status == 200:
                expected = [sent.label.encode(), b'.']
                assert answer.chunks == expected, (request, answer.chunks)

    def check_not_run(self, executions: list[Execution]) -> None:
        """Check that what was refused as not run did not run."""
        ran = {execution.request for execution in executions}
        for request, answer in self.fleet.answers.items():
            if answer.refusal and answer.refusal.run is ExecutionStatus.NOT_RUN:
                assert request not in ran, (request, answer.refusal)

    def check_at_most_once(self, executions: list[Execution]) -> None:
        """Check that calls that may not be repeated ran at most once."""
        counts: dict[str, int] = {}
        for execution in executions:
            sent = self.sent[execution.request]
            if sent.label:
                continue
            name = sent.idempotency_key or sent.request
            counts[name] = counts.get(name, 0) + 1
        doubled = {name: count for name, count in counts.items() if count > 1}
        assert not doubled, doubled

    def check_leaving(self, executions: list[Execution]) -> None:
        """Check that leaving targets get no new work after seconds."""
        for execution in executions:
            left_at = self.left_at.get(execution.target)
            if left_at is None:
                continue
            if self.was_connected(execution.vm, left_at, execution.at):
                assert execution.at <= left_at + FEW_SECONDS, execution

    def check_configuration(self) -> None:
        """Check that no accepted configuration was reverted."""
        for vm, host in self.fleet.hosts.items():
            if host.node is None:
                continue
            state = host.node.published
            seen = self.revisions.get((vm, host.boot_count), 0)
            assert state.revision >= seen, (vm, state.revision, seen)
            self.revisions[vm, host.boot_count] = state.revision
            accepted = self.accepted.get(state.revision)
            if accepted is not None:
                assert state.document == accepted, (vm, state.revision)

    def note_outcomes(self, documents: dict[str, str]) -> None:
        """Note the operators' changes that were accepted."""
        for operation, outcome in self.fleet.outcomes.items():
            if isinstance(outcome, Applied) and operation in documents:
                document = documents[operation]
                known = self.accepted.setdefault(outcome.revision, document)
                assert known == document, outcome

    def was_connected(self, vm: str, since: float, until: float) -> bool:
        """Return whether a VM could hear the others all that time."""
        return not any(
            isolation.start <= until and isolation.end + FEW_SECONDS >= since
            for isolation in self.isolations.get(vm, ())
        )

    def vm_crashed(self, vm: str) -> None:
        """Note that a VM's open requests are lost with it."""
        self.crashed_requests.update(
            sent.request
            for sent in self.sent.values()
            if sent.vm == vm and not self.fleet.answers[sent.request].end_count
        )

    def check_drained(self, vm: str) -> None:
        """Check that a drained VM has cut no request."""
        for sent in self.sent.values():
            if sent.vm == vm and sent.request not in self.crashed_requests:
                answer = self.fleet.answers[sent.request]
                assert answer.end_count == 1 or sent.request in self.left, sent

    def check_all_answered(self) -> None:
        """Check that every caller that stayed was answered or refused."""
        for request, answer in self.fleet.answers.items():
            if request in self.left or request in self.crashed_requests:
                continue
            assert answer.end_count == 1, self.sent[request]

    def check_agreement(self) -> None:
        """Check that all VMs have the same in force after all faults."""
        states = {
            (host.node.published.version, host.node.published.document)
            for host in self.fleet.hosts.values()
            if host.node
        }
        assert len(states) == 1, [state[0] for state in states]
        newest = max(self.accepted, default=0)
        for host in self.fleet.hosts.values():
            assert host.node is None or host.node.published.revision >= newest

    def follow(self, revision: int) -> dict[str, Any]:
        """Return an accepted configuration and note what it says."""
        cfg: dict[str, Any] = json.loads(self.accepted[revision])
        now = self.fleet.now
        for key in cfg['keys']:
            if key.get('withdrawn'):
                self.withdrawn_at.setdefault(key['digest'], now)
            else:
                self.withdrawn_at.pop(key['digest'], None)
        for zone in cfg['zones']:
            if zone.get('out'):
                self.zone_out_at.setdefault(zone['name'], now)
            else:
                self.zone_out_at.pop(zone['name'], None)
        return cfg

    def isolate(self, vms: list[str]) -> None:
        """Note that VMs have lost the quorum from now on."""
        for vm in vms:
            isolation = Isolation(self.fleet.now, float('inf'))
            self.isolations.setdefault(vm, []).append(isolation)

    def heal(self) -> None:
        """Note that no VM is isolated any more."""
        for vm, isolations in self.isolations.items():
            self.isolations[vm] = [
                Isolation(one.start, min(one.end, self.fleet.now))
                for one in isolations
            ]

    def _used(self, event: TimelineEvent, ran: set[str]) -> float:
        if event.request not in ran:
            return 0.0
        sent = self.sent[event.request]
        if not sent.label:
            return 1.0
        if not self.fleet.answers[event.request].complete:
            return sent.prompt_tokens
        return sent.prompt_tokens + sent.output_tokens

    def _on_event(self, event: TimelineEvent) -> None:
        if event.kind is EventKind.ADMITTED and event.account in self.limits:
            self.admissions.append((self.fleet.now, event))


def document_of(cfg: dict[str, Any]) -> str:
    """Return a configuration as operators' tools send it."""
    return json.dumps(cfg, sort_keys=True)
