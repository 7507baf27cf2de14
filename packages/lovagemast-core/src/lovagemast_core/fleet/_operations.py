"""Changes of single keys, zones and VMs within a configuration document.

Documents are in their JSON form, as operators' tools read and write them.
"""

import copy
from typing import Any

Document = dict[str, Any]


def keep_operator_changes(fresh: Document, current: Document) -> Document:
    """Return a freshly expanded document with what operators did by hand.

    Keys granted or withdrawn, zones taken out and VMs being drained stay
    as they are until an operator undoes them or the template says so.
    """
    merged = copy.deepcopy(fresh)
    _keep_keys(merged, current)
    states = {
        zone['name']: zone.get('out', False)
        for zone in current.get('zones', ())
    }
    for zone in merged.get('zones', ()):
        if 'out' not in zone and states.get(zone['name']):
            zone['out'] = True
    if 'draining_vms' not in merged and 'draining_vms' in current:
        merged['draining_vms'] = list(current['draining_vms'])
    return merged


def grant_key(document: Document, account: str, digest: str) -> Document:
    """Return the document with a key added to a client account."""
    changed = copy.deepcopy(document)
    key = {'account': account, 'digest': digest}
    changed.setdefault('keys', []).append(key)
    return changed


def withdraw_key(document: Document, digest: str) -> Document | None:
    """Return the document with a key withdrawn, ``None`` if it has none.

    ``digest`` may be the start of a digest if it fits one key only.
    """
    changed = copy.deepcopy(document)
    found = [
        key
        for key in changed.get('keys', ())
        if key['digest'].startswith(digest)
    ]
    if len(found) != 1:
        return None
    found[0]['withdrawn'] = True
    return changed


def set_zone_out(
    document: Document, zone: str, *, out: bool
) -> Document | None:
    """Return the document with a zone taken out or in, if it has it."""
    changed = copy.deepcopy(document)
    for known in changed.get('zones', ()):
        if known['name'] == zone:
            known['out'] = out
            return changed
    return None


def set_draining(document: Document, vm: str, *, drain: bool) -> Document:
    """Return the document with a VM being drained or not."""
    changed = copy.deepcopy(document)
    vms = [known for known in changed.get('draining_vms', ()) if known != vm]
    if drain:
        vms.append(vm)
    changed['draining_vms'] = vms
    return changed


def _keep_keys(merged: Document, current: Document) -> None:
    accounts = {account['name'] for account in merged.get('accounts', ())}
    fresh = {key['digest']: key for key in merged.get('keys', ())}
    for key in current.get('keys', ()):
        known = fresh.get(key['digest'])
        if known is not None and key.get('withdrawn'):
            known['withdrawn'] = True
        elif known is None and key['account'] in accounts:
            merged.setdefault('keys', []).append(dict(key))
