"""Tests of callers outside the limits, with the system's own processes.

Each guards against a process that runs out of memory or descriptors, or
answers ordinary requests no longer, because of one kind of such callers.
"""

import asyncio
import threading
from collections.abc import Awaitable, Iterator

import pytest

from tests.h2floods import H2_FLOODS, PATHS, send_message_crowd
from tests.outsidecallers import (
    CROWD,
    ENTRY,
    FLOOD_PATH,
    FLOODS,
    IDLE_CROWD,
    LISTENERS,
    MAX_FDS,
    MEMORY_BOUND_KIB,
    MIB,
    Flood,
    LimitedDeployment,
    Listener,
    Watched,
    figures_of,
    send_crowd,
)
from tests.test_endless import ENDLESS, Endless

HTTP_LISTENERS = [name for name in LISTENERS if 'peers' not in name]
PEER_LISTENERS = [name for name in LISTENERS if 'peers' in name]
HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n'


@pytest.fixture(scope='module')
def site(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[LimitedDeployment]:
    """Return a deployment that is ready to serve."""
    started = LimitedDeployment(tmp_path_factory.mktemp('limited'))
    try:
        started.start()
        yield started
    finally:
        started.stop()


def check_crowd(
    site: LimitedDeployment, listener: Listener, crowd: Awaitable[None]
) -> None:
    """Let a crowd run, and check what the process used and that it serves."""
    pid = site.settle(listener.role, listener.vm)
    with Watched(pid) as watched:
        asyncio.run(_wait_for(crowd))
    assert site.processes[listener.vm].poll() is None
    used = figures_of(pid)
    print(f'{used}, at most {watched.most_descriptors} descriptors')
    assert max(used.rss_kib, used.peak_kib) <= MEMORY_BOUND_KIB
    assert max(used.descriptors, watched.most_descriptors) <= MAX_FDS
    site.wait(lambda: listener.is_answering(site))


async def _wait_for(crowd: Awaitable[None]) -> None:
    await crowd


class TestRequests:
    @pytest.mark.parametrize('kind', FLOODS)
    @pytest.mark.parametrize('name', HTTP_LISTENERS)
    def test_crowd(self, site: LimitedDeployment, name: str, kind: str) -> None:
        """Requests over the limits, or without end, exhaust no process."""
        listener = LISTENERS[name]
        crowd = send_crowd(listener.vm, listener.port(site), FLOODS[kind])
        check_crowd(site, listener, crowd)

    @pytest.mark.parametrize('name', LISTENERS)
    def test_idle_connections(self, site: LimitedDeployment, name: str) -> None:
        """Connections without a request leave descriptors for others."""
        listener = LISTENERS[name]
        check_crowd(site, listener, hold_idle(listener.vm, listener.port(site)))


async def hold_idle(host: str, port: int) -> None:
    """Hold connections on which nothing is sent."""
    opened = await asyncio.gather(
        *(asyncio.open_connection(host, port) for _conn in range(IDLE_CROWD)),
        return_exceptions=True,
    )
    await asyncio.sleep(0.5)
    for conn in opened:
        if not isinstance(conn, BaseException):
            conn[1].transport.abort()


class TestPeers:
    @pytest.mark.parametrize('kind', H2_FLOODS)
    @pytest.mark.parametrize('name', PEER_LISTENERS)
    def test_crowd(self, site: LimitedDeployment, name: str, kind: str) -> None:
        """Streams without end at the ports between VMs exhaust no process."""
        listener = LISTENERS[name]
        crowd = send_crowd(listener.vm, listener.port(site), H2_FLOODS[kind])
        check_crowd(site, listener, crowd)

    @pytest.mark.parametrize('streams', [1, 20])
    @pytest.mark.parametrize(
        ('name', 'path'),
        [('entry peers', PATHS[1]), ('control peers', PATHS[0])],
    )
    def test_messages(
        self, site: LimitedDeployment, name: str, path: str, streams: int
    ) -> None:
        """Messages without end between VMs exhaust no process."""
        listener = LISTENERS[name]
        crowd = send_message_crowd(
            listener.vm, listener.port(site), path, streams
        )
        check_crowd(site, listener, crowd)


ANSWERS = {
    **{
        name: ENDLESS[name]
        for name in ('headers', 'header value', 'body', 'trailers', 'trailer')
    },
    'legal bodies': Endless(
        HEAD + b'Content-Length: %d\r\n\r\n' % (4 * MIB), b'x'
    ),
}


class TestTargets:
    @pytest.mark.parametrize('kind', ANSWERS)
    def test_answers(self, site: LimitedDeployment, kind: str) -> None:
        """Responses of targets without end exhaust no entry VM."""
        site.target.answer = ANSWERS[kind]
        site.target.total = 4 * MIB if kind == 'legal bodies' else 12 * MIB
        check_crowd(site, LISTENERS['callers'], call_flooding(site))

    def test_answers_that_nobody_reads(self, site: LimitedDeployment) -> None:
        """Responses that wait for their callers exhaust no entry VM."""
        site.target.answer = ANSWERS['legal bodies']
        site.target.total = 4 * MIB
        head = (
            b'POST %b HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\n'
            b'Authorization: Bearer k1\r\nX-Deadline-Ms: 4000\r\n'
            b'Content-Length: 0\r\n\r\n' % FLOOD_PATH.encode()
        )
        flood = Flood(head, head, 4 * len(head), then_stays=True)
        crowd = send_crowd(ENTRY, site.ports.front, flood)
        check_crowd(site, LISTENERS['callers'], crowd)


async def call_flooding(site: LimitedDeployment) -> None:
    """Call the flooding target from all callers of a crowd at a time."""

    def call() -> None:
        site.is_served(FLOOD_PATH, {})

    threads = [threading.Thread(target=call) for _caller in range(CROWD)]
    for thread in threads:
        thread.start()
    for thread in threads:
        await asyncio.to_thread(thread.join)
