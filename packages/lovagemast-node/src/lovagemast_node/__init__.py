"""The lovagemast daemon: HTTP, RPC, storage, logs and metrics for the core.

Public names are imported lazily, so that a VM with little memory loads only
the modules that its role needs.
"""

import importlib
from typing import Any, Final

_MODULES: Final = {
    'DamagedLogError': '._storage',
    'LogStore': '._storage',
    'Settings': '._settings',
    'load_settings': '._settings',
    'main': '._daemon',
    'read_log': '._storage',
}

__all__ = list(_MODULES)


def __getattr__(name: str) -> Any:
    """Import a public name on first access."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(name)
    return getattr(importlib.import_module(module, __name__), name)
