"""Time from a change to an entry VM, as a function of bytes and link.

The sender and the receiver are the product's; link, round trip and the
interval of sync requests pass in virtual time. Processor time is not counted.
"""

import json
import random
from typing import Any, Final, NamedTuple

from lovagemast_core.documents import DocumentReceiver, DocumentSender
from lovagemast_core.syncrelay import ENTRY_SYNC

ROUTES: Final = (100, 700, 1_400, 5_000, 20_000)
LINKS_MBPS: Final = (2.0, 3.75, 12.5, 100.0, 1_000.0)
ROUND_TRIP_S: Final = 0.005
REPLY_BYTES: Final = 300  # of a reply beside its part
BITS: Final = 8
MEGA: Final = 1e6


class Transfer(NamedTuple):
    """What a change took."""

    document_bytes: int
    sent_bytes: int
    parts: int
    took_s: dict[float, float]  # by Mbit/s of the link


def make_document(count: int, version: int) -> str:
    """Return a configuration with routes whose names repeat nowhere."""
    rng = random.Random(1)
    routes: list[dict[str, Any]] = []
    for _ in range(count):
        name = f'{rng.getrandbits(40):010x}'
        routes.append(
            {
                'name': name,
                'hostname': f'{name[:6]}.example',
                'pathPrefix': f'/{name}/',
                'kind': 'unsafe',
                'timeoutMs': 5_000,
                'targetLatencyMs': 600,
                'service': 's-plain',
                'maxAttempts': 2,
                'public': False,
                'resumable': False,
            }
        )
    return json.dumps({'version': version, 'routes': routes})


def measure(base: str, document: str) -> Transfer:
    """Return what the change from a base to a document takes."""
    sender, receiver = DocumentSender(), DocumentReceiver()
    for revision, text in enumerate((base, document), start=1):
        sender.put(revision, text)
        receiver.want(revision, sender.digest)
        sizes = _transfer(sender, receiver)
    took_s = {
        link: sum(_part_s(size, link) for size in [0, *sizes])
        for link in LINKS_MBPS
    }
    return Transfer(len(document), sum(sizes), len(sizes), took_s)


def _transfer(sender: DocumentSender, receiver: DocumentReceiver) -> list[int]:
    sizes = []
    wish = receiver.wish()
    while wish:
        part = sender.part_for(wish)
        assert part
        sizes.append(len(part.content))
        receiver.add(part)
        wish = receiver.wish()
    return sizes


def _part_s(size: int, link_mbps: float) -> float:
    """Return the time from one sync request to the next."""
    on_link_s = (size + REPLY_BYTES) * BITS / (link_mbps * MEGA)
    return max(ENTRY_SYNC.min_interval_s, ROUND_TRIP_S + on_link_s)


def main() -> None:
    """Print a table of changes and links."""
    links = ' | '.join(f'{link:g} Mbit/s' for link in LINKS_MBPS)
    print(f'| change | document | sent | parts | {links} |')
    print('|' + '---|' * (4 + len(LINKS_MBPS)))
    for count in ROUTES:
        base = make_document(20, 1)
        whole = make_document(count, 2)
        one_more = make_document(count + 1, 3)
        _print_row(f'{count:,} routes', measure(base, whole))
        _print_row(f'one more of {count:,}', measure(whole, one_more))


def _print_row(name: str, transfer: Transfer) -> None:
    times = ' | '.join(f'{transfer.took_s[link]:.2f} s' for link in LINKS_MBPS)
    sizes = f'{transfer.document_bytes:,} B | {transfer.sent_bytes:,} B'
    print(f'| {name} | {sizes} | {transfer.parts} | {times} |')


if __name__ == '__main__':
    main()
