"""Adapters that streams need at targets of their own software version.

A stream that broke off may go on only there, and its caller holds a part of
the answer already, so these adapters are loaded before all others.
"""

from typing import Final, NamedTuple

from .._types import SoftwareVersion
from ..targets import AdapterWish
from ._enginestate import EngineState
from ._enginetable import EngineTable
from ._holderindex import Name
from ._label import AdapterLabel
from ._orders import Order
from ._round import PlanningRound

WISH_TTL_S: Final = 0.4  # relays repeat wishes that are still pending


class StreamWish(NamedTuple):
    """An adapter that a stream needs."""

    pool: str
    name: Name
    software: SoftwareVersion

    def fits(self, engine: EngineState) -> bool:
        """Return whether the stream may go on at an engine."""
        heartbeat = engine.heartbeat
        return (heartbeat.pool, heartbeat.software) == (
            self.pool,
            self.software,
        )


class StreamWishes:
    """The adapters that streams wait for."""

    def __init__(self) -> None:
        self._wished_at: dict[StreamWish, float] = {}  # s

    def record(self, wish: AdapterWish, now: float) -> None:
        """Record the wish of an entry VM."""
        name = (wish.model, wish.adapter)
        self._wished_at[StreamWish(wish.pool, name, wish.software)] = now

    def clear(self) -> None:
        """Forget all wishes."""
        self._wished_at.clear()

    def missing(self, engines: EngineTable, now: float) -> list[StreamWish]:
        """Return the wishes that no usable engine of the version meets."""
        self._wished_at = {
            wish: at
            for wish, at in self._wished_at.items()
            if now - at < WISH_TTL_S
        }
        return [wish for wish in self._wished_at if not _is_met(wish, engines)]


def plan_stream_load(
    wish: StreamWish,
    label: AdapterLabel,
    planning: PlanningRound,
    fence: int,
    now: float,
) -> Order | None:
    """Return an order for a stream, whatever demand it displaces."""
    able = (one for one in planning.engines_for(wish.name) if wish.fits(one))
    for engine in able:
        if engine.slots_reserved(now) < engine.spec.adapter_slots:
            return engine.make_order(label, fence, load=True)
        victim = planning.victim(engine)
        if victim:
            return engine.make_order(victim, fence, load=False)
    return None


def _is_met(wish: StreamWish, engines: EngineTable) -> bool:
    holders = (one for one in engines.holders(wish.name) if wish.fits(one))
    return any(engines.is_usable(engine) for engine in holders)
