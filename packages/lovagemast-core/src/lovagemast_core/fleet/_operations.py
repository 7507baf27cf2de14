"""Operators' changes to single keys, zones and VMs in a configuration.

They apply to the JSON form of the document, which operators' tools exchange
with the fleet. Documents that are passed in are never modified.
"""

import copy
from typing import Any

Document = dict[str, Any]


def keep_operator_changes(expanded: Document, current: Document) -> Document:
    """Return an expanded document with operators' changes carried over.

    Granted and withdrawn keys, zones taken out of service and draining VMs
    are kept from the current document, until an operator reverts them or
    the template sets them itself.
    """
    merged = copy.deepcopy(expanded)
    _carry_over_keys(merged, current)
    out_by_zone = {
        zone['name']: zone.get('out', False)
        for zone in current.get('zones', ())
    }
    for zone in merged.get('zones', ()):
        if 'out' not in zone and out_by_zone.get(zone['name']):
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
    """Return the document with a key withdrawn.

    ``digest`` may be a prefix of the key's digest. The result is ``None``
    unless it matches exactly one key.
    """
    changed = copy.deepcopy(document)
    matching = [
        key
        for key in changed.get('keys', ())
        if key['digest'].startswith(digest)
    ]
    if len(matching) != 1:
        return None
    matching[0]['withdrawn'] = True
    return changed


def set_zone_out(
    document: Document, zone: str, *, out: bool
) -> Document | None:
    """Return the document with a zone taken out of service or back in.

    The result is ``None`` if the document has no such zone.
    """
    changed = copy.deepcopy(document)
    for known in changed.get('zones', ()):
        if known['name'] == zone:
            known['out'] = out
            return changed
    return None


def set_draining(document: Document, vm: str, *, drain: bool) -> Document:
    """Return the document with a VM marked as draining or not."""
    changed = copy.deepcopy(document)
    vms = [known for known in changed.get('draining_vms', ()) if known != vm]
    if drain:
        vms.append(vm)
    changed['draining_vms'] = vms
    return changed


def _carry_over_keys(merged: Document, current: Document) -> None:
    accounts = {account['name'] for account in merged.get('accounts', ())}
    merged_keys = {key['digest']: key for key in merged.get('keys', ())}
    for key in current.get('keys', ()):
        known = merged_keys.get(key['digest'])
        if known is not None and key.get('withdrawn'):
            known['withdrawn'] = True
        elif known is None and key['account'] in accounts:
            merged.setdefault('keys', []).append(dict(key))
