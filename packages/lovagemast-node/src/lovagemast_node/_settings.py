"""The daemon's settings file, validated before anything starts."""

import ipaddress
import json
from pathlib import Path
from typing import Annotated, NamedTuple

from lovagemast_core import Fault, Field, RosterEntry, parse_record

Port = Annotated[int, Field('TCP port.', low=1, high=65535)]


class Listen(NamedTuple):
    """An address to listen on."""

    host: Annotated[str, Field('IP number.')]
    port: Port

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f'{self.host}:{self.port}'


class Seed(NamedTuple):
    """A VM of the fleet that is contacted at start."""

    vm: str
    zone: str
    address: Annotated[str, Field('IP number and port for other VMs.')]
    control: Annotated[bool, Field('Whether it keeps the log.')] = False


class RequestLimits(NamedTuple):
    """Limits on requests from callers."""

    body_bytes: Annotated[
        int,
        Field('Longest request body, bytes.', low=1024),
    ] = 4_194_304
    body_timeout_s: Annotated[
        float,
        Field('Longest wait for a request body, s.', low=0.1),
    ] = 30.0
    header_bytes: Annotated[
        int,
        Field('Longest header field, bytes.', low=512),
    ] = 16_384
    concurrent: Annotated[
        int,
        Field('Requests under way at a time.', low=1),
    ] = 4_000


class Settings(NamedTuple):
    """The settings that a daemon needs to join the fleet."""

    vm: Annotated[str, Field('Name of the VM, unique in the fleet.')]
    zone: Annotated[str, Field('Availability zone of the VM.')]
    callers: Annotated[Listen, Field('For callers.')]
    peers: Annotated[Listen, Field('For other VMs.')]
    admin: Annotated[Listen, Field('For operators, platform and targets.')]
    control: Annotated[
        bool,
        Field('Whether the VM keeps the replicated log.'),
    ] = False
    data_dir: Annotated[
        str | None,
        Field('Data folder; needed on control VMs.'),
    ] = None
    seeds: Annotated[
        tuple[Seed, ...],
        Field('VMs to contact first, all control VMs among them.'),
    ] = ()
    admin_key_digests: Annotated[
        tuple[str, ...],
        Field("SHA-256 digests in hex of the operators' keys."),
    ] = ()
    target_key_digests: Annotated[
        tuple[str, ...],
        Field('SHA-256 digests in hex of the keys targets register with.'),
    ] = ()
    limits: RequestLimits = RequestLimits()
    timeline_events: Annotated[
        int,
        Field('Events kept for the time line.', low=100),
    ] = 50_000
    log_level: Annotated[
        str,
        Field('DEBUG, INFO, WARNING or ERROR.'),
    ] = 'INFO'

    @property
    def roster_entry(self) -> RosterEntry:
        """Return the roster entry that this VM proposes for itself."""
        return RosterEntry(
            self.vm,
            self.zone,
            self.peers.address,
            self.admin.address,
            self.control,
        )

    @property
    def seed_entries(self) -> tuple[RosterEntry, ...]:
        """Return the roster entries of this VM and its seeds."""
        others = tuple(
            RosterEntry(seed.vm, seed.zone, seed.address, '', seed.control)
            for seed in self.seeds
            if seed.vm != self.vm
        )
        return (self.roster_entry, *others)


def load_settings(path: Path) -> tuple[Settings | None, list[Fault]]:
    """Return the settings in a file, or all their validation faults."""
    try:
        document = json.loads(path.read_text())
    except (OSError, ValueError) as exc:
        return None, [Fault((), str(exc))]
    settings, faults = parse_record(Settings, document)
    if settings is None:
        return None, faults
    faults = list(_value_faults(settings))
    return (None, faults) if faults else (settings, [])


def _value_faults(settings: Settings) -> list[Fault]:
    faults = []
    for name in ('callers', 'peers', 'admin'):
        host = getattr(settings, name).host
        if not _is_ip(host):
            faults.append(Fault((name, 'host'), 'must be an IP address'))
    if settings.control and not settings.data_dir:
        faults.append(Fault(('data_dir',), 'is needed on a control VM'))
    for index, seed in enumerate(settings.seeds):
        if not _is_ip(seed.address.rpartition(':')[0]):
            path = ('seeds', index, 'address')
            faults.append(Fault(path, 'must be an IP address and a port'))
    levels = {'DEBUG', 'INFO', 'WARNING', 'ERROR'}
    if settings.log_level not in levels:
        faults.append(Fault(('log_level',), f'must be one of {sorted(levels)}'))
    return faults


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return True
