"""Streams while workers of two software versions serve, end to end."""

import contextlib
import os
import signal
from collections.abc import Iterator
from typing import Final

import pytest
import urllib3

from tests.platformworker import EVENTS, OK, Worker
from tests.test_serving import ADAPTER, Deployment, numbers_of

ENTRY: Final = '127.0.0.1'
READ_EVENTS: Final = 3  # before a client loses its stream


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Return a deployment with a worker of each of two versions.

    Both hold the adapter.
    """
    started = Deployment(tmp_path_factory.mktemp('versions'))
    started.spare.software = 'v1.1'
    for worker in (started.engine, started.spare):
        worker.adapters['a1'] = 1
    try:
        started.start()
        started.wait(lambda: started.is_served('/lm/x', ADAPTER))
        yield started
    finally:
        started.stop()


def workers_of(deployment: Deployment, request_id: str) -> list[Worker]:
    """Return the workers that ran a request, in the order of their names."""
    return [
        worker
        for worker in (deployment.engine, deployment.spare)
        if any(
            run['X-Request-Id'] == request_id for run in worker.request_headers
        )
    ]


def begin_stream(deployment: Deployment) -> tuple[str, Worker]:
    """Return the id of a stream that was served, and its worker."""
    request_id = os.urandom(8).hex()
    headers = {**ADAPTER, 'X-Request-Id': request_id}
    assert deployment.post('/lm/x', headers).status == OK
    return request_id, workers_of(deployment, request_id)[0]


def resume(
    deployment: Deployment, resumed_id: str, request_id: str
) -> urllib3.BaseHTTPResponse:
    """Resume a stream as a client does that has read some events."""
    return deployment.post(
        '/lm/x',
        {
            **ADAPTER,
            'X-Request-Id': request_id,
            'Resumes': resumed_id,
            'Last-Event-Id': str(READ_EVENTS),
        },
    )


def test_answer_is_not_joined_from_two_versions(
    deployment: Deployment,
) -> None:
    """A stream whose worker breaks off and is full then ends, visibly."""
    workers = (deployment.engine, deployment.spare)
    for worker in workers:
        worker.break_after = READ_EVENTS
        worker.is_full_after_break = True
    request_id = os.urandom(8).hex()
    headers = {**ADAPTER, 'X-Request-Id': request_id}
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        deployment.post('/lm/x', headers)
    for worker in workers:
        worker.break_after = None
        worker.is_full_after_break = False
        worker.is_full = False
    assert len(workers_of(deployment, request_id)) == 1


def test_unknown_stream_is_not_resumed(deployment: Deployment) -> None:
    """With two versions in service, nothing tells which one began it."""
    request_id = os.urandom(8).hex()
    response = resume(deployment, 'never-sent', request_id)
    assert response.status == 503
    assert not workers_of(deployment, request_id)


def test_stream_is_known_after_its_vm_was_killed(
    deployment: Deployment,
) -> None:
    """What an entry VM knew of its streams must not be lost with it."""
    resumed_id, worker = begin_stream(deployment)
    deployment.wait(lambda: deployment.put_config(2) == OK)
    process = deployment.processes[ENTRY]
    process.send_signal(signal.SIGKILL)
    process.wait()
    deployment.start_process('entry', ENTRY)
    deployment.wait(lambda: deployment.is_served('/plain/x', {}))
    request_id = os.urandom(8).hex()
    response = resume(deployment, resumed_id, request_id)
    assert numbers_of(response) == list(range(READ_EVENTS + 1, EVENTS + 1))
    assert workers_of(deployment, request_id) == [worker]


def test_stream_of_a_version_that_left_is_refused(
    deployment: Deployment,
) -> None:
    """The rest is not taken from the version that still serves."""
    resumed_id, worker = begin_stream(deployment)
    worker.state = 'draining'
    leaving_id = os.urandom(8).hex()
    deployment.wait(
        lambda: worker not in workers_of(deployment, served(deployment))
    )
    response = resume(deployment, resumed_id, leaving_id)
    assert response.status == 503
    assert not workers_of(deployment, leaving_id)


def served(deployment: Deployment) -> str:
    """Return the id of a new stream that was served."""
    request_id = os.urandom(8).hex()
    headers = {**ADAPTER, 'X-Request-Id': request_id}
    deployment.wait(lambda: deployment.is_served('/lm/x', headers))
    return request_id
