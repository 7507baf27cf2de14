"""What an entry VM received counts as in force only once it is."""

import contextlib
import json
from collections.abc import Callable
from typing import Any

import pytest
from lovagemast_core import PublishedState
from lovagemast_core.deployment import Deployment
from lovagemast_core.targets import SyncReply
from lovagemast_node._clock import now_s
from lovagemast_node.fleet._entry import EntryServer
from lovagemast_platform._entry import PlatformEntryCodec

from tests.test_calls import CFG

OLD, NEW = 1, 2
DENIAL_AGE_S = 1.5  # of a view that refuses unknown routes by itself


class OlderCodec(PlatformEntryCodec):
    """A build that cannot read the newer configuration."""

    def parse_deployment(self, document: str) -> Deployment | str:
        """Parse a configuration; return an error text for the newer one."""
        if json.loads(document)['version'] == NEW:
            return 'unknown kind'
        return super().parse_deployment(document)


def published(revision: int) -> PublishedState:
    """Return a published configuration without routes."""
    document = {'version': revision, 'routes': [], 'services': []}
    return PublishedState(revision, revision, json.dumps(document))


def reply(state: PublishedState | None) -> SyncReply:
    """Return a relay's reply, just confirmed by a quorum."""
    return SyncReply(1, True, 'c1', 1, 0.0, state, epoch=1, stamp=1)


def break_parse(server: EntryServer) -> None:
    """Let the newer configuration be unreadable."""
    server._codec = OlderCodec()


def break_reports(server: EntryServer) -> None:
    """Let another part of the next reply fail."""

    def fail(_ask: int) -> None:
        server._state.guard.reports.on_reply = before  # type: ignore[method-assign]
        raise RuntimeError('a fault of another part')

    before: Any = server._state.guard.reports.on_reply
    server._state.guard.reports.on_reply = fail  # type: ignore[method-assign]


@pytest.mark.parametrize('breaks', [break_parse, break_reports])
def test_what_is_not_in_force_is_not_confirmed(
    breaks: Callable[[EntryServer], None],
) -> None:
    """Else routes of the newer one get 404 although it was confirmed."""
    server = EntryServer(CFG, PlatformEntryCodec())
    view = server._state.view
    server._on_reply(reply(published(OLD)), now_s() - 2 * DENIAL_AGE_S)
    assert view.index
    assert view.index.deployment.revision == OLD
    breaks(server)
    with contextlib.suppress(RuntimeError):  # the stream is opened anew
        server._on_reply(reply(published(NEW)), now_s())
    server._on_reply(reply(None), now_s())
    is_in_force = view.index.deployment.revision == NEW
    assert is_in_force or view.age(now_s()) > DENIAL_AGE_S
