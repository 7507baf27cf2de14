"""A simulated engine or plain service in virtual time."""

from collections.abc import Callable
from typing import Final, NamedTuple

from lovagemast_core import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallFailure,
    CallStarted,
    Event,
    OrderTarget,
    ProbeFailure,
    TargetFacts,
    TargetProbed,
)

PREFILL_S_PER_TOKEN: Final = 0.0002
STEP_S: Final = 0.02  # per token, with one call in the batch
STEP_GROWTH: Final = 0.04  # fraction of a step added by each further call
TOKEN_TOLERANCE: Final = 1e-6  # tokens, for rounding errors
COLD_SLOWDOWN: Final = 10.0  # factor, above the concurrency limit
TOKENS_PER_CHUNK: Final = 32
LOAD_S: Final = 0.25  # of one adapter, at full speed
LOADS_AT_FULL_SPEED: Final = 8


class Work(NamedTuple):
    """The work of one call at a target."""

    prompt_tokens: int
    output_tokens: int
    crashes_target: bool = False


class Execution(NamedTuple):
    """A call that a target has started to run."""

    at: float  # s
    target: str
    vm: str
    attempt: str
    request: str
    label: str


class TargetHooks(NamedTuple):
    """Functions of the simulator that a target calls."""

    call_later: Callable[[float, Callable[[float], None]], None]
    deliver: Callable[[str, Event], None]  # VM, event


class VirtualStore:
    """A weight store whose concurrent loads slow each other down."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.peak = 0
        self.starts: list[float] = []

    def start_load(self, now: float) -> float:
        """Start a load and return its duration, s."""
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        self.starts.append(now)
        return LOAD_S * max(1.0, self.in_flight / LOADS_AT_FULL_SPEED)


class _Call:
    def __init__(self, vm: str, attempt: str, label: str, work: Work) -> None:
        self.vm = vm
        self.attempt = attempt
        self.label = label
        self.work = work
        self.prefill_left = float(work.prompt_tokens)
        self.tokens_left = float(work.output_tokens)
        self.started = False
        self.reported = 0.0  # tokens

    def produced(self) -> float:
        """Return the tokens produced so far."""
        return self.work.output_tokens - self.tokens_left


class VirtualTarget:
    """Simulates continuous batching: each step gives every call a token."""

    def __init__(
        self,
        facts: TargetFacts,
        store: VirtualStore,
        hooks: TargetHooks,
        *,
        fencing: bool = True,
    ) -> None:
        self.facts = facts
        self.loaded: dict[str, bool] = {}
        self.calls: dict[str, _Call] = {}
        self.executions: list[Execution] = []
        self.violations: list[str] = []
        self.up = True
        self.silent = False
        self.fail_loads = 0
        # Lower than the maximum while the engine warms up.
        self.concurrency_limit = facts.max_in_flight
        self.busy_s = 0.0  # with at least one call
        self.batch_s = 0.0  # batch size integrated over time, call-seconds
        self.tokens = 0.0
        self._fencing = fencing
        self._highest_fence = 0
        self._store = store
        self._hooks = hooks
        self._advanced_at = 0.0
        self._wakeup_version = 0

    def open_call(
        self,
        vm: str,
        attempt: str,
        request: str,
        label: str,
        work: Work,
        now: float,
    ) -> None:
        """Start a call, or report why it cannot run."""
        if self.silent:
            return
        if not self.up:
            self._fail(vm, attempt, CallFailure.NOT_SENT)
            return
        if label and not self.loaded.get(label):
            self._fail(vm, attempt, CallFailure.NOT_LOADED)
            return
        self._advance(now)
        name = self.facts.target
        execution = Execution(now, name, vm, attempt, request, label)
        self.executions.append(execution)
        self.calls[attempt] = _Call(vm, attempt, label, work)
        if work.crashes_target:
            self.crash(now)
            return
        if len(self.calls) > self.concurrency_limit:
            self.violations.append(f'{now:.3f} {len(self.calls)} calls')
        self._schedule_wakeup(now)

    def cancel_call(self, attempt: str, now: float) -> None:
        """Cancel a call."""
        self._advance(now)
        self.calls.pop(attempt, None)
        self._schedule_wakeup(now)

    def disconnect_vm(self, vm: str, now: float) -> None:
        """Cancel the calls of a VM whose connections have closed."""
        self._advance(now)
        for call in list(self.calls.values()):
            if call.vm == vm:
                self.calls.pop(call.attempt)
        self._schedule_wakeup(now)

    def order(
        self,
        order: OrderTarget,
        answer: Callable[[bool, str], None],
        now: float,
    ) -> None:
        """Load or unload an adapter version."""
        if self.silent:
            return
        if not self.up:
            answer(False, 'refused')
            return
        if self._fencing and order.fence < self._highest_fence:
            answer(False, 'fenced')
            return
        self._highest_fence = max(self._highest_fence, order.fence)
        if order.load:
            self._load(order, answer, now)
            return
        if any(call.label == order.label for call in self.calls.values()):
            self.violations.append(f'{now:.3f} evicted {order.label} in use')
        self.loaded.pop(order.label, None)
        answer(True, '')

    def probe(self, sent_at: float) -> TargetProbed | None:
        """Return the target's state, or ``None`` if it does not respond."""
        if self.silent:
            return None
        if not self.up:
            return TargetProbed(self.facts.target, ProbeFailure.REFUSED)
        labels = [label for label, ready in self.loaded.items() if ready]
        return TargetProbed(
            self.facts.target,
            ProbeFailure.NONE,
            self.facts.incarnation,
            tuple(labels),
            len(self.calls),
            sent_at,
        )

    def crash(self, now: float) -> None:
        """Fail all calls and lose all adapters."""
        self._advance(now)
        self.up = False
        self.loaded.clear()
        self._highest_fence = 0
        calls = list(self.calls.values())
        self.calls.clear()
        self._wakeup_version += 1
        for call in calls:
            self._fail(call.vm, call.attempt, CallFailure.BROKEN)

    def restart(self, incarnation: str, *, concurrency_limit: int) -> None:
        """Start again without adapters and with a lower concurrency limit."""
        self.up = True
        self.concurrency_limit = concurrency_limit
        self.facts = self.facts._replace(incarnation=incarnation)

    def _load(
        self,
        order: OrderTarget,
        answer: Callable[[bool, str], None],
        now: float,
    ) -> None:
        if len(self.loaded) >= self.facts.adapter_slots:
            answer(False, 'no free slot')
            return
        self.loaded[order.label] = False
        incarnation = self.facts.incarnation

        def finish(when: float) -> None:
            self._store.in_flight -= 1
            if not self.up or self.facts.incarnation != incarnation:
                return
            if self.fail_loads:
                self.fail_loads -= 1
                self.loaded.pop(order.label, None)
                answer(False, 'load failed')
                return
            self.loaded[order.label] = True
            answer(True, '')

        self._hooks.call_later(self._store.start_load(now), finish)

    def _fail(self, vm: str, attempt: str, failure: CallFailure) -> None:
        self._hooks.deliver(vm, CallFailed(attempt, failure, 'stand-in'))

    def _step_s(self) -> float:
        batch = len(self.calls)
        step = STEP_S * (1 + STEP_GROWTH * (batch - 1))
        return step * COLD_SLOWDOWN if batch > self.concurrency_limit else step

    def _advance(self, now: float) -> None:
        elapsed = now - self._advanced_at
        self._advanced_at = now
        if not self.calls or elapsed <= 0:
            return
        self.busy_s += elapsed
        self.batch_s += elapsed * len(self.calls)
        step = self._step_s()
        for call in self.calls.values():
            self._advance_call(call, elapsed, step)

    def _advance_call(self, call: _Call, elapsed: float, step: float) -> None:
        prefill_s = call.prefill_left * PREFILL_S_PER_TOKEN
        used = min(elapsed, prefill_s)
        call.prefill_left -= used / PREFILL_S_PER_TOKEN
        produced = min(call.tokens_left, (elapsed - used) / step)
        call.tokens_left -= produced
        self.tokens += produced

    def _schedule_wakeup(self, now: float) -> None:
        self._wakeup_version += 1
        version = self._wakeup_version
        if not self.calls:
            return
        step = self._step_s()
        wait = min(
            self._next_event_s(call, step) for call in self.calls.values()
        )
        self._hooks.call_later(
            max(wait, 1e-6),
            lambda when: self._on_wakeup(version, when),
        )

    def _next_event_s(self, call: _Call, step: float) -> float:
        prefill_s = call.prefill_left * PREFILL_S_PER_TOKEN
        if not call.started:
            return prefill_s + step
        next_chunk = call.reported + TOKENS_PER_CHUNK - call.produced()
        return prefill_s + min(call.tokens_left, next_chunk) * step

    def _on_wakeup(self, version: int, now: float) -> None:
        if version != self._wakeup_version or not self.up:
            return
        self._advance(now)
        for call in list(self.calls.values()):
            self._report_progress(call)
        self._schedule_wakeup(now)

    def _report_progress(self, call: _Call) -> None:
        due = call.reported + TOKENS_PER_CHUNK if call.started else 1
        if call.tokens_left <= TOKEN_TOLERANCE:
            self._finish(call)
        elif call.produced() >= due - TOKEN_TOLERANCE:
            self._send_chunk(call, b'' if call.started else None)

    def _send_chunk(self, call: _Call, chunk: bytes | None) -> None:
        if not call.started:
            media_type = 'text/event-stream'
            self._send(call, CallStarted(call.attempt, 200, media_type))
            call.started = True
        new = round(call.produced() - call.reported)
        call.reported += new
        text = call.label.encode() if chunk is None else chunk
        self._send(call, CallChunk(call.attempt, text, new))

    def _finish(self, call: _Call) -> None:
        if not call.started:
            self._send_chunk(call, None)
        self.calls.pop(call.attempt)
        self.concurrency_limit = min(
            self.facts.max_in_flight, self.concurrency_limit + 1
        )
        self._send_chunk(call, b'.')
        self._send(call, CallEnded(call.attempt))

    def _send(self, call: _Call, event: Event) -> None:
        if not self.silent:
            self._hooks.deliver(call.vm, event)
