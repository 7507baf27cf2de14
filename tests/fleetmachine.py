"""A Hypothesis state machine that subjects a virtual fleet to faults.

The sort order of the rule names determines the steps that a seed generates,
so renaming a rule may change what the fixed seeds test.
"""

import copy
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from lovagemast_core import (
    CallerDisconnected,
    CallerRequest,
    DrainRequested,
    TargetFacts,
)

from standins.virtual_fleet import Faults, VirtualFleet, Work

from .fleetconfig import (
    ADAPTERS,
    BASES,
    CONTROL,
    ENTRIES,
    LIMITS,
    MAX_CLOCK_DRIFT,
    VMS,
    ZONES,
    base_configuration,
    without_quorum,
)
from .oracle import Oracle, SentRequest, document_of

vms = st.sampled_from(VMS)
zones = st.sampled_from(ZONES)
wait_times = st.sampled_from((0.01, 0.1, 0.5, 2.0, 6.0))


class FleetMachine(RuleBasedStateMachine):
    """Runs five VMs in three zones, three of which are control VMs."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start the fleet and apply the initial configuration."""
        self.fleet = VirtualFleet(ENTRIES, seed)
        self.oracle = Oracle(self.fleet, LIMITS)
        self.cfg = base_configuration()
        self.documents: dict[str, str] = {}
        self.operations = 0
        self.disk_losses = 0
        for host in self.fleet.hosts.values():
            drift = self.fleet.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
            host.rate = 1 + drift
            host.offset = self.fleet.rng.uniform(100, 100.5)
        self.fleet.start_all()
        for number, zone in enumerate(ZONES):
            for base, fencing in BASES.items():
                facts = self._facts(f'{base}{number}', zone, base)
                self.fleet.add_target(facts, fencing=fencing)
        for number, zone in enumerate(ZONES[:2]):
            facts = self._facts(f'ledger{number}', zone, 'ledger')
            self.fleet.add_target(facts)
        self.fleet.run_for(3)
        self._apply('vm0', 'op0', self.cfg)
        self.fleet.run_for(12)

    # Callers

    @rule(
        vm=vms,
        key=st.sampled_from(('a0', 'a1', 'a2', 'b0', 'b1', 'b2')),
        adapter=st.sampled_from(ADAPTERS),
        base=st.sampled_from(tuple(BASES)),
        tokens=st.integers(1, 60),
        count=st.integers(1, 12),
    )
    def complete(
        self,
        vm: str,
        key: str,
        adapter: str,
        base: str,
        tokens: int,
        count: int,
    ) -> None:
        """Send completion requests for one adapter to a VM."""
        for _ in range(count):
            work = Work(10, tokens)
            self._send(vm, key, f'{base}:{adapter}', adapter, work)

    @rule(
        key=st.sampled_from(('a0', 'a1', 'b0')),
        tokens=st.integers(1, 60),
        wait=wait_times,
    )
    def complete_everywhere(self, key: str, tokens: int, wait: float) -> None:
        """Send completion requests for all adapters to all VMs."""
        for vm in VMS:
            for adapter in ADAPTERS:
                model = f'base:{adapter}'
                self._send(vm, key, model, adapter, Work(10, tokens))
        self.fleet.run_for(wait)

    @rule(vm=vms, other=vms, number=st.integers(0, 3), wait=wait_times)
    def post_twice(self, vm: str, other: str, number: int, wait: float) -> None:
        """Post to the ledger and repeat the request at another VM."""
        self._post(vm, f'k{number}')
        self.fleet.run_for(wait)
        self._post(other, f'k{number}')

    @rule(vm=vms)
    def post_once(self, vm: str) -> None:
        """Post to the ledger without an idempotency key."""
        self._post(vm, '')

    @rule(
        vm=vms,
        wait=st.sampled_from((0.003, 0.01, 0.02)),
        silent=st.booleans(),
    )
    def post_into_failure(self, vm: str, wait: float, silent: bool) -> None:
        """Post to the ledger just before its targets fail."""
        ledgers = [
            target
            for name, target in self.fleet.targets.items()
            if name.startswith('ledger')
        ]
        for number in range(4):
            self._post(vm, f'f{number}' if number % 2 else '')
        self.fleet.run_for(wait)
        for target in ledgers:
            if silent:
                target.silent = True
            else:
                target.crash(self.fleet.now)
        self.fleet.run_for(1)
        for target in ledgers:
            target.silent = False

    @rule(vm=vms, base=st.sampled_from(tuple(BASES)))
    def deadly(self, vm: str, base: str) -> None:
        """Send a request that crashes every target that runs it."""
        work = Work(10, 5, crashes_target=True)
        self._send(vm, 'a0', f'{base}:{ADAPTERS[0]}', ADAPTERS[0], work)

    @rule(share=st.floats(0, 1))
    def hang_up(self, share: float) -> None:
        """Disconnect the caller of an open request."""
        opened = [
            sent
            for sent in self.oracle.sent_requests.values()
            if not self.fleet.answers[sent.request].end_count
        ]
        if opened:
            sent = opened[int(share * (len(opened) - 1))]
            self.oracle.disconnected_requests.add(sent.request)
            self.fleet.feed(sent.vm, CallerDisconnected(sent.request))

    # Operators

    @rule(vm=vms, other=vms, account=st.sampled_from(tuple(LIMITS)))
    def race(self, vm: str, other: str, account: str) -> None:
        """Apply two different changes of the same revision concurrently."""
        first = copy.deepcopy(self.cfg)
        first['draining_vms'] = []
        second = copy.deepcopy(self.cfg)
        second['keys'].append({'account': account, 'digest': 'spare'})
        self._apply(vm, self._op_id(), first)
        self._apply(other, self._op_id(), second)
        self._settle()

    @rule(vm=vms, wait=st.sampled_from((0.02, 0.1, 0.4)))
    def apply_often(self, vm: str, wait: float) -> None:
        """Apply several changes in quick succession."""
        for number in range(4):
            wanted = copy.deepcopy(self.cfg)
            wanted['draining_vms'] = [f'none{number}']
            self._apply(vm, self._op_id(), wanted)
            self.fleet.run_for(wait)
        self._settle()

    @rule(vm=vms, other=vms)
    def resend(self, vm: str, other: str) -> None:
        """Send the same change to two VMs without waiting."""
        op_id = self._op_id()
        self._apply(vm, op_id, self.cfg)
        self._apply(other, op_id, self.cfg)
        self._settle()

    @rule(vm=vms, key=st.sampled_from(('a1', 'b1')))
    def withdraw_key(self, vm: str, key: str) -> None:
        """Withdraw an API key."""
        wanted = copy.deepcopy(self.cfg)
        for known in wanted['keys']:
            if known['digest'] == key:
                known['withdrawn'] = True
        self._apply(vm, self._op_id(), wanted)
        self._settle()

    @rule(vm=vms, zone=zones, out=st.booleans())
    def set_zone(self, vm: str, zone: str, out: bool) -> None:
        """Take a zone out of service or put it back in service."""
        wanted = copy.deepcopy(self.cfg)
        for known in wanted['zones']:
            if known['name'] == zone:
                known['out'] = out
        self._apply(vm, self._op_id(), wanted)
        self._settle()

    # Faults

    @rule(vm=vms, wait=wait_times)
    def restart_vm(self, vm: str, wait: float) -> None:
        """Crash a VM and restart it."""
        self._crash(vm)
        self.fleet.run_for(wait)
        self.fleet.start(vm)

    @rule(vm=vms, wait=st.sampled_from((0.5, 2.5, 4.0, 9.0)))
    def freeze_vm(self, vm: str, wait: float) -> None:
        """Suspend a VM's process and resume it."""
        if self.fleet.hosts[vm].node is None:
            return
        self.fleet.freeze(vm)
        self.oracle.isolate([vm])
        for other in VMS:
            if other != vm:
                model = f'base:{ADAPTERS[0]}'
                self._send(other, 'a0', model, ADAPTERS[0], Work(10, 30))
        self.fleet.run_for(wait)
        self.fleet.thaw(vm)
        if not self.fleet.blocked_links:
            self.oracle.end_isolations()

    @rule(vm=vms)
    def stop_gracefully(self, vm: str) -> None:
        """Drain a VM, stop it once it is drained and restart it."""
        host = self.fleet.hosts[vm]
        if host.node is None:
            return
        self.fleet.feed(vm, DrainRequested())
        boots = host.boot_count
        for _ in range(40):
            self.fleet.run_for(0.5)
            if host.node.is_drained(host.clock(self.fleet.now)):
                self.oracle.check_drained(vm)
                break
        if host.boot_count == boots:
            self._crash(vm)
            self.fleet.start(vm)

    @precondition(lambda self: self._may_lose_disk())
    @rule(vm=st.sampled_from(CONTROL), wait=wait_times)
    def lose_disk(self, vm: str, wait: float) -> None:
        """Restart a control VM with an empty disk, if the fleet is repaired."""
        self._crash(vm)
        self.fleet.run_for(wait)
        self.fleet.start(vm, lost_disk=True)
        self.disk_losses += 1

    @rule(side=st.sets(vms, min_size=1, max_size=3), wait=wait_times)
    def cut(self, side: set[str], wait: float) -> None:
        """Partition some VMs from the other VMs."""
        names = sorted(side)
        others = [vm for vm in VMS if vm not in side]
        self.fleet.partition(names, others)
        self.oracle.isolate(without_quorum(names, others))
        self.fleet.run_for(wait)

    @rule(vm=vms, other=vms, wait=wait_times)
    def one_way(self, vm: str, other: str, wait: float) -> None:
        """Drop all messages from one VM to another."""
        self.fleet.blocked_links.add((vm, other))
        self.oracle.isolate([other, vm])
        self.fleet.run_for(wait)

    @rule(zone=zones, wait=wait_times)
    def cut_zone(self, zone: str, wait: float) -> None:
        """Partition a whole zone, including its targets, from the rest."""
        inside = [entry.vm for entry in ENTRIES if entry.zone == zone]
        outside = [entry.vm for entry in ENTRIES if entry.zone != zone]
        names = list(self.fleet.targets)
        within = [name for name in names if self._zone_of(name) == zone]
        without = [name for name in names if self._zone_of(name) != zone]
        self.fleet.partition([*inside, *within], [*outside, *without])
        self.oracle.isolate(without_quorum(inside, outside))
        self.fleet.run_for(wait)

    @rule()
    def heal(self) -> None:
        """End all partitions."""
        self.fleet.heal()
        self.oracle.end_isolations()

    @rule(
        drop=st.sampled_from((0.0, 0.02, 0.1)),
        duplicate=st.sampled_from((0.0, 0.1)),
        delay_s=st.sampled_from((0.0, 0.02, 0.3, 1.5)),
    )
    def set_faults(self, drop: float, duplicate: float, delay_s: float) -> None:
        """Set the network's loss, duplication and delay of messages."""
        self.fleet.faults = Faults(drop, duplicate, delay_s)

    @rule(number=st.integers(0, 7), wait=wait_times)
    def restart_target(self, number: int, wait: float) -> None:
        """Crash a target and restart it, without adapters and cold."""
        target = list(self.fleet.targets.values())[number]
        target.crash(self.fleet.now)
        self.fleet.run_for(wait)
        self._restart(target)

    @rule(number=st.integers(0, 5), silent=st.booleans(), wait=wait_times)
    def silence_target(self, number: int, silent: bool, wait: float) -> None:
        """Make a target stop responding, or respond again."""
        target = list(self.fleet.targets.values())[number]
        target.silent = silent
        self.fleet.run_for(wait)

    @rule(number=st.integers(0, 5), failures=st.integers(1, 3))
    def fail_loads(self, number: int, failures: int) -> None:
        """Make the next adapter loads at a target fail."""
        target = list(self.fleet.targets.values())[number]
        target.fail_loads = failures

    @rule(number=st.integers(0, 7))
    def leave(self, number: int) -> None:
        """Make a target announce that it is leaving."""
        target = list(self.fleet.targets.values())[number]
        if not target.facts.leaving and not target.silent and target.up:
            target.facts = target.facts._replace(leaving=True)
            self.oracle.target_left_at[target.facts.target] = self.fleet.now
            self.fleet.announce(target)

    @rule(wait=wait_times)
    def wait(self, wait: float) -> None:
        """Let the fleet run for a while."""
        self.fleet.run_for(wait)

    # Checks

    @invariant()
    def guarantees_hold(self) -> None:
        """Check every guarantee on the history so far."""
        if hasattr(self, 'oracle'):
            self._revive_targets()
            self._update_configuration()
            self.oracle.check()

    def teardown(self) -> None:
        """End all faults; the fleet must converge and serve again."""
        if not hasattr(self, 'oracle'):
            return
        self.fleet.heal()
        self.oracle.end_isolations()
        self.fleet.faults = Faults()
        for vm in VMS:
            if self.fleet.hosts[vm].node is None:
                self.fleet.start(vm)
        for target in self.fleet.targets.values():
            target.silent = False
            target.fail_loads = 0
        self.fleet.run_for(2)
        self._revive_targets()
        self.fleet.run_for(28)
        self.guarantees_hold()
        self.oracle.check_agreement()
        self.oracle.check_all_answered()

    # Helpers

    def _facts(self, name: str, zone: str, pool: str) -> TargetFacts:
        return TargetFacts(name, zone, pool, f'{name}:1', 'i0', 0, 2, 4)

    def _zone_of(self, target: str) -> str:
        return self.fleet.targets[target].facts.zone

    def _send(
        self,
        vm: str,
        key: str,
        model: str,
        label: str,
        work: Work,
        idempotency_key: str = '',
    ) -> None:
        if self.fleet.hosts[vm].node is None:
            return
        path = '/v1/completions' if label else '/ledger/post'
        fingerprint = f'{key}{model}{work}'
        req = CallerRequest(
            '',
            'POST',
            path,
            key,
            model,
            work.prompt_tokens if label else 0,
            work.output_tokens,
            fingerprint,
            idempotency_key=idempotency_key,
        )
        request = self.fleet.next_request()
        self.oracle.sent_requests[request] = SentRequest(
            request,
            vm,
            key[0],
            key,
            label,
            work.prompt_tokens,
            work.output_tokens,
            idempotency_key,
            self.fleet.now,
        )
        self.fleet.request(vm, req, work)

    def _post(self, vm: str, idempotency_key: str) -> None:
        self._send(vm, 'a0', '', '', Work(0, 1), idempotency_key)

    def _op_id(self) -> str:
        self.operations += 1
        return f'op{self.operations}'

    def _apply(self, vm: str, op_id: str, cfg: dict[str, Any]) -> None:
        if self.fleet.hosts[vm].node is None:
            return
        revision = self.fleet.hosts[vm].node.published.revision
        document = document_of(cfg)
        operation = self.fleet.apply(vm, op_id, revision, document)
        self.documents[operation] = document

    def _settle(self) -> None:
        """Wait for outcomes and adopt the latest accepted configuration."""
        self.fleet.run_for(1)
        self._update_configuration()

    def _update_configuration(self) -> None:
        self.oracle.record_outcomes(self.documents)
        newest = max(self.oracle.accepted_documents, default=0)
        if newest:
            self.cfg = self.oracle.apply_accepted(newest)

    def _crash(self, vm: str) -> None:
        self.fleet.crash(vm)
        self.oracle.record_vm_crash(vm)

    def _restart(self, target: Any) -> None:
        incarnation = f'{target.facts.incarnation}+'
        target.restart(incarnation, concurrency_limit=1)

    def _revive_targets(self) -> None:
        for target in self.fleet.targets.values():
            if not target.up:
                self._restart(target)

    def _may_lose_disk(self) -> bool:
        if not hasattr(self, 'fleet') or self.fleet.blocked_links:
            return False
        return self.fleet.is_fully_replicated()
