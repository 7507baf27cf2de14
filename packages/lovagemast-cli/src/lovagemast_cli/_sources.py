"""Reads templates and finds the line of each fault in them."""

import json
from pathlib import Path
from typing import Any, NamedTuple

import yaml
from lovagemast_core import Expansion, Fault, expand, format_path

PARAMETERS = 'parameters'
Document = dict[str, Any]


class Source(NamedTuple):
    """A JSON file: its name, parsed document and text."""

    name: str
    document: Any
    text: str


class SourceError(Exception):
    """A file cannot be read as JSON; the message names the line."""


def load_source(path: Path) -> Source:
    """Read and parse a JSON file.

    Raises :exc:`SourceError` if it cannot be read.
    """
    try:
        text = path.read_text()
        return Source(str(path), json.loads(text), text)
    except OSError as exc:
        raise SourceError(f'{path}: {exc.strerror}') from exc
    except json.JSONDecodeError as exc:
        raise SourceError(f'{path}:{exc.lineno}: {exc.msg}') from exc


def expand_sources(template: Source, parameters: Source) -> Expansion:
    """Expand a template with the values of a parameters file."""
    return expand(template.document, parameters.document)


def describe_fault(fault: Fault, template: Source, parameters: Source) -> str:
    """Return a fault as ``file:line: path: problem``."""
    source, path = template, fault.path
    if path and path[0] == PARAMETERS:
        source, path = parameters, path[1:]
    line = _find_line(source.text, path)
    return f'{source.name}:{line}: {format_path(path)}: {fault.problem}'


def _find_line(text: str, path: tuple[str | int, ...]) -> int:
    """Return the line of the deepest existing node on a path.

    Parses the JSON as YAML, because that parser keeps positions.
    """
    node = yaml.compose(text, Loader=yaml.CSafeLoader)
    if node is None:
        return 1
    line: int = node.start_mark.line
    for step in path:
        found = _find_child(node, step)
        if found is None:
            break
        node, line = found
    return line + 1


def _find_child(
    node: yaml.Node, step: str | int
) -> tuple[yaml.Node, int] | None:
    if isinstance(node, yaml.SequenceNode):
        if isinstance(step, int) and step < len(node.value):
            member = node.value[step]
            return member, member.start_mark.line
        return None
    if isinstance(node, yaml.MappingNode):
        for name, member in node.value:
            if name.value == step:
                return member, name.start_mark.line
    return None
