"""Compares two configurations section by section."""

from typing import Any

Document = dict[str, Any]


def diff_documents(current: Document, desired: Document) -> list[str]:
    """Return a line for each item that is added, removed or changed.

    A line starts with ``+`` for an added item, ``-`` for a removed one and
    ``~`` for a changed one.
    """
    lines = []
    for section in sorted({*current, *desired}):
        before = _items_by_name(current.get(section))
        after = _items_by_name(desired.get(section))
        for name in sorted({*before, *after}):
            line = _diff_line(section, name, before.get(name), after.get(name))
            if line:
                lines.append(line)
    return lines


def _items_by_name(section: Any) -> dict[str, Any]:
    if isinstance(section, list):
        return {_item_name(item): item for item in section}
    return {} if section is None else {'': section}


def _item_name(item: Any) -> str:
    if isinstance(item, dict):
        return str(item.get('name') or item.get('digest'))
    return str(item)


def _diff_line(section: str, name: str, before: Any, after: Any) -> str | None:
    label = f'{section} {name}'.strip()
    if before == after:
        return None
    if before is None:
        return f'+ {label}'
    if after is None:
        return f'- {label}'
    if not isinstance(before, dict) or not isinstance(after, dict):
        return f'~ {label}: {before!r} -> {after!r}'
    changes = [
        f'{field}: {before.get(field)!r} -> {after.get(field)!r}'
        for field in sorted({*before, *after})
        if before.get(field) != after.get(field)
    ]
    return f'~ {label}: {", ".join(changes)}'
