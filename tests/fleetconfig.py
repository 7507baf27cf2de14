"""The fleet used by the state machine and the feature scenarios."""

from typing import Any

from lovagemast_core import RosterEntry

from .oracle import RateLimit

ZONES = ('z0', 'z1', 'z2')
ENTRIES = (
    RosterEntry('vm0', 'z0', 'vm0:1', control=True),
    RosterEntry('vm1', 'z0', 'vm1:1'),
    RosterEntry('vm2', 'z1', 'vm2:1', control=True),
    RosterEntry('vm3', 'z1', 'vm3:1'),
    RosterEntry('vm4', 'z2', 'vm4:1', control=True),
)
VMS = tuple(entry.vm for entry in ENTRIES)
CONTROL = tuple(entry.vm for entry in ENTRIES if entry.control)
LIMITS = {'a': RateLimit(400, 1200), 'b': RateLimit(60, 300)}
ADAPTERS = tuple(f'ad{number}@{number % 2 + 1}' for number in range(5))
BASES = {'base': True, 'unfenced': False}  # base model: fencing
MAX_CLOCK_DRIFT = 0.005  # fraction of the clock's rate


def base_configuration() -> dict[str, Any]:
    """Return the initial configuration of a run."""
    pools = [
        {'name': base, 'kind': 'engine', 'base': base, 'fencing': fencing}
        for base, fencing in BASES.items()
    ]
    return {
        'zones': [{'name': zone} for zone in ZONES],
        'accounts': [
            {
                'name': name,
                'rate_tokens_s': limit.rate,
                'burst_tokens': limit.burst,
            }
            for name, limit in LIMITS.items()
        ],
        'keys': [
            {'account': name, 'digest': f'{name}{number}'}
            for name in LIMITS
            for number in range(3)
        ],
        'pools': [*pools, {'name': 'ledger', 'kind': 'service'}],
        'routes': [
            *({'name': base, 'prefix': '/v1/', 'pool': base} for base in BASES),
            {'name': 'ledger', 'prefix': '/ledger/', 'pool': 'ledger'},
        ],
    }


def without_quorum(side: list[str], other: list[str]) -> list[str]:
    """Return the side of a partition without a majority of control VMs."""
    control = [vm for vm in side if vm in CONTROL]
    return other if len(control) > len(CONTROL) // 2 else side
