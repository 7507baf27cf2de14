"""Runs the duties of a control VM: its calls, logs, metrics and page."""

from collections.abc import Callable, Coroutine
from typing import Any, Final

from lovagemast_core.control import (
    CallInfrastructure,
    ControlNode,
    CountsDecided,
    DutiesChanged,
)
from lovagemast_core.duties import DutyState
from lovagemast_core.scaling import CountDecision

from .._clock import now_s
from ._codec import ControlCodec
from ._infrastructure import InfrastructureClient
from ._jsonlog import JsonLog
from ._metrics import ControlMetrics
from ._settings import ControlSettings

PATH: Final = '/admin/duties'

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class DutyHost:
    """Performs the effects that concern the infrastructure."""

    def __init__(
        self,
        cfg: ControlSettings,
        codec: ControlCodec,
        node: ControlNode,
        run_effects: Callable[[], None],
        spawn: Spawn,
        log: JsonLog,
        metrics: ControlMetrics,
    ) -> None:
        self._cfg = cfg
        self._node = node
        self._run_effects = run_effects
        self._spawn = spawn
        self._log = log
        self._metrics = metrics
        self._state = DutyState()
        # Decided by this VM as the leader, by pool and availability zone.
        self._decided: dict[tuple[str, str], CountDecision] = {}
        self._client: InfrastructureClient | None = None
        if cfg.cloud:
            self._client = InfrastructureClient(cfg.cloud, cfg.name, codec, log)

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return what performs each kind of effect."""
        return {
            CallInfrastructure: self._start_call,
            DutiesChanged: self._on_changed,
            CountsDecided: self._on_decided,
        }

    def describe(self) -> dict[str, Any]:
        """Return the document that shows the duties to operators."""
        state = self._state
        duties = self._cfg.cloud.duties if self._cfg.cloud else None
        return {
            'metering': bool(duties and duties.has_metering),
            'autoscale': bool(duties and duties.has_scaling),
            'holder': state.holder,
            'since': state.holder_at,
            'fencing_token': state.epoch,
            'settled': state.is_settled,
            'last_window': state.last_window,
            'confirmed_window': state.confirmed_window,
            'unconfirmed': [one.window for one in state.unconfirmed],
            'desired': [
                {
                    'pool': known.pool,
                    'zone': known.zone,
                    'desired': known.desired,
                    'confirmed': known.is_confirmed,
                    **self._describe_decision(known.pool, known.zone),
                }
                for known in state.desired
            ],
        }

    def _on_decided(self, effect: CountsDecided) -> None:
        """Log the counts that have changed, or whose reason has."""
        before = self._decided
        self._decided = {(one.pool, one.zone): one for one in effect.counts}
        for place, count in self._decided.items():
            known = before.get(place)
            if known is None or known._replace(present=count.present) != count:
                self._log.write('scaling', 'count', **count._asdict())

    def _describe_decision(self, pool: str, zone: str) -> dict[str, Any]:
        """Return what the leader saw and why; empty at other VMs."""
        decided = self._decided.get((pool, zone))
        if decided is None or not self._node.is_ready_leader():
            return {}
        return {'present': decided.present, 'reason': decided.reason.value}

    def _start_call(self, effect: CallInfrastructure) -> None:
        """Send a call; its outcome goes to the control node."""
        if self._client:
            self._spawn(self._call(self._client, effect))

    def _on_changed(self, effect: DutiesChanged) -> None:
        before, after = effect
        self._state = after
        self._metrics.set_duties(after, holds=after.holder == self._cfg.vm)
        if after.epoch != before.epoch:
            self._log.write(
                'duty',
                'holder changed',
                holder=after.holder,
                former=before.holder,
                token=after.epoch,
            )
        if after.last_window != before.last_window:
            self._log_usage(after)
        for known in after.desired:
            if known not in before.desired:
                self._log.write('duty', 'desired count', **known._asdict())

    async def _call(
        self, client: InfrastructureClient, effect: CallInfrastructure
    ) -> None:
        done = await client.send(effect.handed, effect.send_by)
        self._metrics.record_duty_call(done.result.value)
        self._node.on_called(done, now_s())
        self._run_effects()

    def _log_usage(self, after: DutyState) -> None:
        counts = after.unconfirmed[-1].counts if after.unconfirmed else ()
        self._log.write(
            'duty',
            'usage committed',
            window=after.last_window,
            accounts=len(counts),
            requests=sum(one.requests for one in counts),
            unconfirmed=len(after.unconfirmed),
        )
