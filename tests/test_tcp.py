"""End-to-end tests over TCP with processes, sockets and files."""

import json
import signal
import socket
import time
from typing import Any

import openai
import pytest
import urllib3

from standins.fleet import (
    ADMIN_OFFSET,
    CALLER_KEY,
    MODEL,
    TARGET_OFFSET,
    Fleet,
)

AUTH = {'Authorization': f'Bearer {CALLER_KEY}'}
REQUEST_TIMEOUT_S = 30
WAIT_TIMEOUT_S = 20.0


def base_url(fleet: Fleet, vm: int = 0) -> str:
    """Return the base URL at which a VM serves callers."""
    return f'http://127.0.0.1:{fleet.layout.port + vm}'


def post(
    fleet: Fleet,
    path: str,
    document: object,
    *,
    vm: int = 0,
    headers: dict[str, str] | None = None,
) -> urllib3.BaseHTTPResponse:
    """Send a request to one VM."""
    body = document if isinstance(document, bytes) else json.dumps(document)
    return urllib3.request(
        'POST',
        f'{base_url(fleet, vm)}{path}',
        body=body,
        headers={**AUTH, **(headers or {})},
        timeout=REQUEST_TIMEOUT_S,
        retries=False,
    )


def complete(**changes: object) -> dict[str, object]:
    """Return the body of a completion request."""
    return {'model': MODEL, 'prompt': 'x', 'max_tokens': 5, **changes}


def standin(fleet: Fleet, number: int, **faults: object) -> dict[str, Any]:
    """Return a stand-in's record, or set its injected faults."""
    port = fleet.layout.port + TARGET_OFFSET + number
    reply = urllib3.request(
        'POST' if faults else 'GET',
        f'http://127.0.0.1:{port}/standin',
        body=json.dumps(faults) if faults else None,
        timeout=REQUEST_TIMEOUT_S,
    )
    document: dict[str, Any] = json.loads(reply.data)
    return document


def engines(fleet: Fleet) -> range:
    """Return the numbers of the stand-in engines."""
    return range(1, fleet.layout.zones * fleet.layout.engines + 1)


def services(fleet: Fleet) -> range:
    """Return the numbers of the stand-in services."""
    first = fleet.layout.zones * fleet.layout.engines + 1
    return range(first, first + fleet.layout.zones)


def wait_until(condition: Any) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


class TestCompletions:
    """Engine requests from callers."""

    @pytest.mark.parametrize('vm', [0, 1, 2])
    def test_stream_is_whole(self, fleet: Fleet, vm: int) -> None:
        """A stream through any VM is complete and from the right adapter."""
        reply = post(fleet, '/v1/completions', complete(stream=True), vm=vm)
        assert reply.status == 200
        assert reply.data.endswith(b'data: [DONE]\n\n')
        assert reply.data.count(b'data: {') == 5
        assert b'norfisk-summary@1' in reply.data

    def test_openai_client(self, fleet: Fleet) -> None:
        """The OpenAI client library works unchanged."""
        client = openai.OpenAI(
            base_url=f'{base_url(fleet)}/v1',
            api_key=CALLER_KEY,
        )
        messages: Any = [{'role': 'user', 'content': 'hi'}]
        completion = client.chat.completions.create(
            model=MODEL,
            messages=messages,
            max_tokens=4,
        )
        assert completion.usage
        assert completion.usage.completion_tokens == 4
        stream = client.chat.completions.create(
            model=MODEL,
            messages=messages,
            max_tokens=4,
            stream=True,
        )
        parts = list(stream)
        assert len(parts) == 4
        assert len({part.id for part in parts}) == 1
        reasons = [part.choices[0].finish_reason for part in parts]
        assert reasons == [None, None, None, 'length']
        assert MODEL in {model.id for model in client.models.list()}

    def test_openai_client_errors(self, fleet: Fleet) -> None:
        """The OpenAI client library raises its own errors for refusals."""
        client = openai.OpenAI(
            base_url=f'{base_url(fleet)}/v1',
            api_key='wrong',
            max_retries=0,
        )
        with pytest.raises(openai.AuthenticationError):
            client.completions.create(model=MODEL, prompt='x')

    @pytest.mark.parametrize(
        ('document', 'headers', 'status', 'reason'),
        [
            (b'{', {}, 400, 'bad-request'),
            ([], {}, 400, 'bad-request'),
            ({'prompt': 'x'}, {}, 400, 'bad-request'),
            (complete(max_tokens=-1), {}, 400, 'bad-request'),
            (complete(model='nope'), {}, 404, 'bad-model'),
            (complete(model='other:norfisk-a@1'), {}, 404, 'bad-model'),
            (
                complete(model='yield-base:havnkaj-a@1'),
                {},
                403,
                'adapter-forbidden',
            ),
            (complete(), {'Authorization': ''}, 401, 'key-missing'),
            (complete(), {'Authorization': 'Bearer no'}, 401, 'key-unknown'),
            (complete(max_tokens=10**6), {}, 429, 'over-rate'),
            (complete(max_tokens=2000, n=30), {}, 429, 'over-rate'),
            (complete(n='many'), {}, 400, 'bad-request'),
            (b'x' * 5_000_000, {}, 413, 'body-too-large'),
            (complete(), {'X-Long': 'x' * 20_000}, 431, 'header-too-large'),
        ],
    )
    def test_refusals(
        self,
        fleet: Fleet,
        document: object,
        headers: dict[str, str],
        status: int,
        reason: str,
    ) -> None:
        """Each invalid request gets a problem document with its reason."""
        reply = post(fleet, '/v1/completions', document, headers=headers)
        problem = json.loads(reply.data)
        assert (reply.status, problem['reason']) == (status, reason)
        assert problem['run'] == 'not-run'
        assert problem['request'] == reply.headers['X-Request-Id']

    def test_models_need_a_key(self, fleet: Fleet) -> None:
        """The list of models requires the key of a client account."""
        url = f'{base_url(fleet)}/v1/models'
        reply = urllib3.request('GET', url, timeout=REQUEST_TIMEOUT_S)
        assert reply.status == 401
        assert json.loads(reply.data)['reason'] == 'key-unknown'

    def test_slow_body(self, fleet: Fleet) -> None:
        """A caller that disconnects while sending its body harms no other."""
        with socket.create_connection(
            ('127.0.0.1', fleet.layout.port),
        ) as conn:
            conn.sendall(
                b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
                b'Content-Length: 1000\r\n\r\n{',
            )
        reply = post(fleet, '/v1/completions', complete())
        assert reply.status == 200

    def test_unknown_path(self, fleet: Fleet) -> None:
        """A path without a route is refused."""
        reply = post(fleet, '/nowhere', {})
        assert reply.status == 404
        assert json.loads(reply.data)['reason'] == 'no-route'

    def test_no_target_sees_the_key(self, fleet: Fleet) -> None:
        """No target receives a caller's key."""
        headers = {'X-Api-Key': CALLER_KEY, 'X-Other': f'k={CALLER_KEY}'}
        post(fleet, '/v1/completions', complete(), headers=headers)
        post(fleet, '/ledger/post', {'x': 1}, headers=headers)
        numbers = [*engines(fleet), *services(fleet)]
        received = [standin(fleet, number) for number in numbers]
        assert any(record.get('seen') for record in received)
        assert any(record.get('headers') for record in received)
        assert CALLER_KEY not in json.dumps(received)

    def test_caller_disconnect_cancels_the_call(self, fleet: Fleet) -> None:
        """A caller that disconnects cancels its stream at the engine."""
        document = json.dumps(complete(max_tokens=5000, stream=True))
        with socket.create_connection(
            ('127.0.0.1', fleet.layout.port),
        ) as conn:
            conn.sendall(
                f'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
                f'Authorization: Bearer {CALLER_KEY}\r\n'
                f'Content-Length: {len(document)}\r\n\r\n'
                f'{document}'.encode(),
            )
            assert b'200 OK' in conn.recv(4096)
            assert self.running(fleet) == 1
        wait_until(lambda: self.running(fleet) == 0)

    def running(self, fleet: Fleet) -> int:
        """Return how many calls are running at all engines."""
        return sum(
            standin(fleet, number)['running'] for number in engines(fleet)
        )

    def test_broken_stream_is_not_whole(self, fleet: Fleet) -> None:
        """A stream that the engine aborts is truncated for the caller, too."""
        for number in engines(fleet):
            standin(fleet, number, break_streams=True)
        with pytest.raises(urllib3.exceptions.ProtocolError):
            post(fleet, '/v1/completions', complete(stream=True))
        for number in engines(fleet):
            standin(fleet, number, break_streams=False)


class TestService:
    """Calls to a plain service."""

    def postings(self, fleet: Fleet) -> list[str]:
        """Return all postings that the services executed."""
        return [
            posting
            for number in services(fleet)
            for posting in standin(fleet, number)['postings']
        ]

    @pytest.mark.parametrize('other', [0, 1, 2])
    def test_resend_runs_once(self, fleet: Fleet, other: int) -> None:
        """A repeated call gets the first response, at any VM."""
        headers = {'Idempotency-Key': f'key-{other}'}
        document = {'posting': f'p{other}'}
        first = post(fleet, '/ledger/post', document, headers=headers)
        again = post(
            fleet,
            '/ledger/post',
            document,
            vm=other,
            headers=headers,
        )
        assert (first.status, first.data) == (again.status, again.data)
        assert self.postings(fleet).count(json.dumps(document)) == 1

    def test_key_with_another_body(self, fleet: Fleet) -> None:
        """An idempotency key can't be reused for a different call."""
        headers = {'Idempotency-Key': 'shared'}
        post(fleet, '/ledger/post', {'x': 1}, headers=headers)
        reply = post(fleet, '/ledger/post', {'x': 2}, headers=headers)
        assert reply.status == 422
        assert json.loads(reply.data)['reason'] == 'duplicate-mismatch'

    def test_open_route_needs_no_key(self, fleet: Fleet) -> None:
        """A public route needs no key."""
        url = f'{base_url(fleet)}/ledger/status'
        assert (
            urllib3.request('GET', url, timeout=REQUEST_TIMEOUT_S).status == 200
        )

    def test_broken_call_is_not_repeated(self, fleet: Fleet) -> None:
        """A call whose connection failed runs once, with unknown outcome."""
        for number in services(fleet):
            standin(fleet, number, break_after=True)
        headers = {'Idempotency-Key': 'broken'}
        document = {'posting': 'broken'}
        replies = [
            post(fleet, '/ledger/post', document, vm=vm, headers=headers)
            for vm in (0, 1)
        ]
        for number in services(fleet):
            standin(fleet, number, break_after=False)
        assert [reply.status for reply in replies] == [502, 409]
        runs = [json.loads(reply.data)['run'] for reply in replies]
        assert runs == ['unknown', 'unknown']
        assert self.postings(fleet).count(json.dumps(document)) == 1


class TestOperators:
    """The command-line client against running daemons."""

    def test_key_lives_from_grant_to_withdrawal(self, fleet: Fleet) -> None:
        """A granted key works at every VM until it is revoked."""
        granted = json.loads(fleet.ctl('--json', 'key', 'grant', 'norfisk'))
        headers = {'Authorization': f'Bearer {granted["key"]}'}
        for vm in range(fleet.layout.vms):
            reply = post(
                fleet,
                '/v1/completions',
                complete(),
                vm=vm,
                headers=headers,
            )
            assert reply.status == 200
        fleet.ctl('key', 'withdraw', granted['digest'][:12])
        reply = post(fleet, '/v1/completions', complete(), headers=headers)
        assert reply.status == 401

    def test_zone_out_and_in(self, fleet: Fleet) -> None:
        """Taking a zone out makes its VMs unready until it is back."""
        fleet.ctl('zone', 'out', 'z2')
        url = f'{base_url(fleet, 1)}/readyz'
        assert (
            urllib3.request('GET', url, timeout=REQUEST_TIMEOUT_S).status == 503
        )
        assert post(fleet, '/v1/completions', complete()).status == 200
        fleet.ctl('zone', 'in', 'z2')
        assert (
            urllib3.request('GET', url, timeout=REQUEST_TIMEOUT_S).status == 200
        )

    def test_timeline_shows_why(self, fleet: Fleet) -> None:
        """The timeline of a request lists each of its steps."""
        reply = post(fleet, '/v1/completions', complete(), vm=2)
        request = reply.headers['X-Request-Id']
        printed = fleet.ctl('--json', 'timeline', '--request', request)
        kinds = [event['kind'] for event in json.loads(printed)]
        assert kinds == [
            'arrived',
            'admitted',
            'placed',
            'call-opened',
            'answered',
        ]

    def test_timeline_limit(self, fleet: Fleet) -> None:
        """The limit applies to the events of all VMs together."""
        printed = fleet.ctl('--json', 'timeline', '--limit', '5')
        assert len(json.loads(printed)) == 5

    def test_admin_needs_its_own_key(self, fleet: Fleet) -> None:
        """A caller's key gives no access to the administration API."""
        port = fleet.layout.port + ADMIN_OFFSET
        reply = urllib3.request(
            'GET',
            f'http://127.0.0.1:{port}/admin/status',
            headers=AUTH,
            timeout=REQUEST_TIMEOUT_S,
        )
        assert reply.status == 401

    def test_metrics(self, fleet: Fleet) -> None:
        """Metrics are served in the Prometheus text format."""
        port = fleet.layout.port + ADMIN_OFFSET
        url = f'http://127.0.0.1:{port}/metrics'
        text = urllib3.request('GET', url, timeout=REQUEST_TIMEOUT_S).data
        assert b'lovagemast_answers_total{status="2xx"}' in text
        assert b'lovagemast_revision ' in text


class TestProcesses:
    """Daemons that stop and restart. Runs last, since it stops VMs."""

    def test_drain_cuts_no_request(self, fleet: Fleet) -> None:
        """After SIGTERM a running stream completes and the process exits 0."""
        process = fleet.processes['vm3']
        document = json.dumps(complete(max_tokens=300, stream=True))
        with socket.create_connection(
            ('127.0.0.1', fleet.layout.port + 2),
        ) as conn:
            conn.sendall(
                f'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
                f'Authorization: Bearer {CALLER_KEY}\r\n'
                f'Content-Length: {len(document)}\r\n\r\n'
                f'{document}'.encode(),
            )
            received = conn.recv(4096)
            process.send_signal(signal.SIGTERM)
            while not received.endswith(b'0\r\n\r\n'):
                part = conn.recv(65536)
                assert part, 'the stream was truncated'
                received += part
        assert received.count(b'data: {') == 300
        assert b'data: [DONE]' in received
        assert process.wait(REQUEST_TIMEOUT_S) == 0
        fleet.start_vm(2)
        fleet.wait_for_vms()

    def test_frozen_vm_recovers(self, fleet: Fleet) -> None:
        """The other VMs serve while a process is frozen; then it recovers."""
        process = fleet.processes['vm2']
        process.send_signal(signal.SIGSTOP)
        for _ in range(4):
            reply = post(fleet, '/v1/completions', complete())
            assert reply.status == 200
            time.sleep(1)
        fleet.ctl('--timeout', '1', 'drain', 'none', check=False)
        revision = json.loads(fleet.ctl('--json', 'get'))['revision']
        process.send_signal(signal.SIGCONT)
        wait_until(lambda: self.revision(fleet, 1) == revision)
        reply = post(fleet, '/v1/completions', complete(), vm=1)
        assert reply.status == 200

    def revision(self, fleet: Fleet, vm: int) -> int:
        """Return the revision in force at a VM."""
        port = fleet.layout.port + ADMIN_OFFSET + vm
        text = urllib3.request(
            'GET',
            f'http://127.0.0.1:{port}/metrics',
            timeout=REQUEST_TIMEOUT_S,
        ).data.decode()
        line = next(
            line
            for line in text.splitlines()
            if line.startswith('lovagemast_revision ')
        )
        return int(float(line.split()[1]))

    def test_kill_keeps_what_was_accepted(self, fleet: Fleet) -> None:
        """All VMs, killed at once, restart with the same configuration."""
        before = json.loads(fleet.ctl('--json', 'get'))
        for number in range(fleet.layout.vms):
            fleet.processes[f'vm{number + 1}'].kill()
            fleet.processes[f'vm{number + 1}'].wait(REQUEST_TIMEOUT_S)
        for number in range(fleet.layout.vms):
            fleet.start_vm(number)
        fleet.wait_for_vms()
        fleet.wait_for_targets()
        assert json.loads(fleet.ctl('--json', 'get')) == before
        assert post(fleet, '/v1/completions', complete()).status == 200
