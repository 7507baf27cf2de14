"""A test oracle that checks the guarantees on a virtual fleet's history."""

import json
from typing import Any, NamedTuple

from lovagemast_core import Applied, EventKind, ExecutionStatus, TimelineEvent

from standins.virtual_fleet import VirtualFleet
from standins.virtual_target import Execution

PROPAGATION_LIMIT_S = 3.0  # for a change to reach every connected VM
STALE_KEY_LIMIT_S = 10.0  # for which a VM without quorum accepts keys
CLOCK_RATE_TOLERANCE = 1.02  # factor on the accrued tokens
TOKEN_TOLERANCE = 0.01  # tokens


class SentRequest(NamedTuple):
    """A request as the caller sent it."""

    request: str
    vm: str
    account: str
    key: str
    label: str  # empty for a plain service
    prompt_tokens: int
    output_tokens: int
    idempotency_key: str
    at: float  # s


class Isolation(NamedTuple):
    """An interval, in s, in which a VM could not reach the quorum."""

    start: float
    end: float


class RateLimit(NamedTuple):
    """The rate and burst of a client account over the whole fleet."""

    rate: float  # tokens/s
    burst: float  # tokens


class Oracle:
    """Records what was requested and checks the outcome.

    Callers report requests, configuration changes and faults; the checks
    raise :exc:`AssertionError` for a violated guarantee.
    """

    def __init__(
        self,
        fleet: VirtualFleet,
        limits: dict[str, RateLimit],
    ) -> None:
        self.fleet = fleet
        self.limits = limits
        self.sent_requests: dict[str, SentRequest] = {}
        self.key_withdrawn_at: dict[str, float] = {}
        self.zone_out_at: dict[str, float] = {}
        self.target_left_at: dict[str, float] = {}
        self.accepted_documents: dict[int, str] = {}
        self.isolations: dict[str, list[Isolation]] = {}
        self.seen_revisions: dict[tuple[str, int], int] = {}
        self.admissions: list[tuple[float, TimelineEvent]] = []
        self.lost_requests: set[str] = set()
        self.disconnected_requests: set[str] = set()
        fleet.on_event = self._on_event

    def check(self) -> None:
        """Check every guarantee on the history so far.

        Raises :exc:`AssertionError` for a violated guarantee.
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
        self.check_whole_answers()
        self.check_not_run(executions)
        self.check_at_most_once(executions)
        self.check_leaving(executions)
        self.check_configuration()

    def check_own_adapter(self, executions: list[Execution]) -> None:
        """Check that each request ran on the requested adapter version."""
        for execution in executions:
            sent = self.sent_requests[execution.request]
            assert execution.label == sent.label, execution

    def check_in_use_not_evicted(self) -> None:
        """Check that no adapter was evicted while in use."""
        for name, target in self.fleet.targets.items():
            evicted = [text for text in target.violations if 'evicted' in text]
            assert not evicted, f'{name}: {evicted}'

    def check_keys(self, executions: list[Execution]) -> None:
        """Check that withdrawn keys are refused within the time limits.

        A VM that cannot reach the quorum may accept a key for longer.
        """
        for execution in executions:
            sent = self.sent_requests[execution.request]
            withdrawn_at = self.key_withdrawn_at.get(sent.key)
            if withdrawn_at is None:
                continue
            grace = STALE_KEY_LIMIT_S + PROPAGATION_LIMIT_S
            assert execution.at <= withdrawn_at + grace, execution
            if self.was_connected(execution.vm, withdrawn_at, execution.at):
                assert execution.at <= withdrawn_at + PROPAGATION_LIMIT_S, (
                    execution
                )

    def check_rates(self, executions: list[Execution]) -> None:
        """Check the admissions of each account against its token bucket."""
        ran = {execution.request for execution in executions}
        levels = {
            account: (0.0, limit.burst)
            for account, limit in self.limits.items()
        }
        for now, event in self.admissions:
            at, level = levels[event.account]
            limit = self.limits[event.account]
            accrued = (now - at) * limit.rate * CLOCK_RATE_TOLERANCE
            level = min(limit.burst, level + accrued)
            level -= self._used(event, ran)
            assert level >= -TOKEN_TOLERANCE, (event, level)
            levels[event.account] = (now, level)

    def check_cold_start(self) -> None:
        """Check that cold targets got no more calls than they can take."""
        for name, target in self.fleet.targets.items():
            over = [text for text in target.violations if 'calls' in text]
            assert not over, f'{name}: {over}'

    def check_zones(self, executions: list[Execution]) -> None:
        """Check that zones out of service get no new calls.

        The change has ``PROPAGATION_LIMIT_S`` to reach the VMs.
        """
        for execution in executions:
            zone = self.fleet.targets[execution.target].facts.zone
            out_at = self.zone_out_at.get(zone)
            if out_at is None:
                continue
            if self.was_connected(execution.vm, out_at, execution.at):
                assert execution.at <= out_at + PROPAGATION_LIMIT_S, execution

    def check_whole_answers(self) -> None:
        """Check that responses are complete, correct and sent only once."""
        for request, answer in self.fleet.answers.items():
            assert answer.end_count <= 1, request
            sent = self.sent_requests[request]
            if answer.complete and sent.label and answer.status == 200:
                expected = [sent.label.encode(), b'.']
                assert answer.chunks == expected, (request, answer.chunks)

    def check_not_run(self, executions: list[Execution]) -> None:
        """Check that requests refused as ``not-run`` did not run."""
        ran = {execution.request for execution in executions}
        for request, answer in self.fleet.answers.items():
            if answer.refusal and answer.refusal.run is ExecutionStatus.NOT_RUN:
                assert request not in ran, (request, answer.refusal)

    def check_at_most_once(self, executions: list[Execution]) -> None:
        """Check that non-idempotent calls ran at most once."""
        counts: dict[str, int] = {}
        for execution in executions:
            sent = self.sent_requests[execution.request]
            if sent.label:
                continue
            name = sent.idempotency_key or sent.request
            counts[name] = counts.get(name, 0) + 1
        repeated = {name: count for name, count in counts.items() if count > 1}
        assert not repeated, repeated

    def check_leaving(self, executions: list[Execution]) -> None:
        """Check that leaving targets get no new calls.

        The announcement has ``PROPAGATION_LIMIT_S`` to reach the VMs.
        """
        for execution in executions:
            left_at = self.target_left_at.get(execution.target)
            if left_at is None:
                continue
            if self.was_connected(execution.vm, left_at, execution.at):
                assert execution.at <= left_at + PROPAGATION_LIMIT_S, execution

    def check_configuration(self) -> None:
        """Check that no VM reverted an accepted configuration."""
        for vm, host in self.fleet.hosts.items():
            if host.node is None:
                continue
            state = host.node.published
            seen = self.seen_revisions.get((vm, host.boot_count), 0)
            assert state.revision >= seen, (vm, state.revision, seen)
            self.seen_revisions[vm, host.boot_count] = state.revision
            accepted = self.accepted_documents.get(state.revision)
            if accepted is not None:
                assert state.document == accepted, (vm, state.revision)

    def record_outcomes(self, documents: dict[str, str]) -> None:
        """Record the operators' changes that were accepted."""
        for operation, outcome in self.fleet.outcomes.items():
            if isinstance(outcome, Applied) and operation in documents:
                document = documents[operation]
                known = self.accepted_documents.setdefault(
                    outcome.revision, document
                )
                assert known == document, outcome

    def was_connected(self, vm: str, since: float, until: float) -> bool:
        """Return whether a VM could reach the quorum throughout."""
        return not any(
            isolation.start <= until
            and isolation.end + PROPAGATION_LIMIT_S >= since
            for isolation in self.isolations.get(vm, ())
        )

    def record_vm_crash(self, vm: str) -> None:
        """Record that a crashed VM's open requests are lost."""
        self.lost_requests.update(
            sent.request
            for sent in self.sent_requests.values()
            if sent.vm == vm and not self.fleet.answers[sent.request].end_count
        )

    def check_drained(self, vm: str) -> None:
        """Check that a drained VM cut off no request."""
        for sent in self.sent_requests.values():
            if sent.vm == vm and sent.request not in self.lost_requests:
                answer = self.fleet.answers[sent.request]
                assert (
                    answer.end_count == 1
                    or sent.request in self.disconnected_requests
                ), sent

    def check_all_answered(self) -> None:
        """Check that every connected caller got a response or a refusal."""
        for request, answer in self.fleet.answers.items():
            if (
                request in self.disconnected_requests
                or request in self.lost_requests
            ):
                continue
            assert answer.end_count == 1, self.sent_requests[request]

    def check_agreement(self) -> None:
        """Check that all VMs converged on the same state after the faults."""
        states = {
            (host.node.published.version, host.node.published.document)
            for host in self.fleet.hosts.values()
            if host.node
        }
        assert len(states) == 1, [state[0] for state in states]
        newest = max(self.accepted_documents, default=0)
        for host in self.fleet.hosts.values():
            assert host.node is None or host.node.published.revision >= newest

    def apply_accepted(self, revision: int) -> dict[str, Any]:
        """Record the contents of an accepted configuration and return it."""
        cfg: dict[str, Any] = json.loads(self.accepted_documents[revision])
        now = self.fleet.now
        for key in cfg['keys']:
            if key.get('withdrawn'):
                self.key_withdrawn_at.setdefault(key['digest'], now)
            else:
                self.key_withdrawn_at.pop(key['digest'], None)
        for zone in cfg['zones']:
            if zone.get('out'):
                self.zone_out_at.setdefault(zone['name'], now)
            else:
                self.zone_out_at.pop(zone['name'], None)
        return cfg

    def isolate(self, vms: list[str]) -> None:
        """Record that VMs cannot reach the quorum from now on."""
        for vm in vms:
            isolation = Isolation(self.fleet.now, float('inf'))
            self.isolations.setdefault(vm, []).append(isolation)

    def end_isolations(self) -> None:
        """Record that every VM can reach the quorum again."""
        for vm, isolations in self.isolations.items():
            self.isolations[vm] = [
                Isolation(
                    isolation.start,
                    min(isolation.end, self.fleet.now),
                )
                for isolation in isolations
            ]

    def _used(self, event: TimelineEvent, ran: set[str]) -> float:
        if event.request not in ran:
            return 0.0
        sent = self.sent_requests[event.request]
        if not sent.label:
            return 1.0
        if not self.fleet.answers[event.request].complete:
            return sent.prompt_tokens
        return sent.prompt_tokens + sent.output_tokens

    def _on_event(self, event: TimelineEvent) -> None:
        if event.kind is EventKind.ADMITTED and event.account in self.limits:
            self.admissions.append((self.fleet.now, event))


def document_of(cfg: dict[str, Any]) -> str:
    """Return a configuration as JSON text, as operators' tools send it."""
    return json.dumps(cfg, sort_keys=True)
