"""Finds a target for a request among those that accept new calls."""

from collections import OrderedDict
from typing import Final

from .._types import TargetName, ZoneName
from ..agreement._membership import Membership
from ..agreement._published import PublishedController
from ..requests._context import RequestContext
from ._directory import Directory, KnownTarget
from ._placement import PlacementCriteria, PlacementPolicy

MAX_PREFIXES: Final = 4096


class Placer:
    """Applies the placement policy to the available targets of a pool.

    It also remembers at which target a prompt prefix was last used, since
    the target may still have it cached.
    """

    def __init__(
        self,
        published: PublishedController,
        membership: Membership,
        directory: Directory,
        placement: PlacementPolicy,
        zone: ZoneName,
    ) -> None:
        self._published = published
        self._membership = membership
        self._directory = directory
        self._placement = placement
        self._zone = zone
        self._prefixes: OrderedDict[str, TargetName] = OrderedDict()

    def choose(self, ctx: RequestContext, now: float) -> KnownTarget | None:
        """Return the target for a request's next attempt."""
        if ctx.pool is None:
            return None
        candidates = [
            known
            for known in self._directory.in_pool(ctx.pool.name)
            if known.facts.target not in ctx.tried_targets
            and self._is_available(known, now)
        ]
        return self._placement.choose(candidates, self._criteria(ctx))

    def find_available(
        self,
        target: TargetName,
        now: float,
    ) -> KnownTarget | None:
        """Return a target if it is available for new calls."""
        known = self._directory.get(target)
        if known is None or not self._is_available(known, now):
            return None
        return known

    def find(self, target: TargetName) -> KnownTarget | None:
        """Return a target, available or not."""
        return self._directory.get(target)

    def record_prefix(self, ctx: RequestContext, target: TargetName) -> None:
        """Record the target that has a prompt's prefix cached."""
        if not ctx.req.prefix or not ctx.label:
            return
        prefix = _prefix_key(ctx)
        self._prefixes[prefix] = target
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def _is_available(self, known: KnownTarget, now: float) -> bool:
        if self._published.index.zone_is_out(known.facts.zone):
            return False
        if not known.is_usable(now):
            return False
        return self._membership.is_alive(known.owner, now)

    def _criteria(self, ctx: RequestContext) -> PlacementCriteria:
        return PlacementCriteria(
            ctx.label,
            ctx.req.prefix,
            self._zone,
            self._prefixes.get(_prefix_key(ctx), ''),
        )


def _prefix_key(ctx: RequestContext) -> str:
    return f'{ctx.label}/{ctx.req.prefix}'
