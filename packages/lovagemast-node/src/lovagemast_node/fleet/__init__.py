"""The daemon of a deployment that a platform hosts: entry and control VMs.

A platform package brings the dialects, which translate between its wire and
the core's types, and the settings; everything else is here.
"""

from ._control import ControlHost
from ._dialect import (
    CallFacts,
    ControlCall,
    ControlDialect,
    DepartureCall,
    EdgeDialect,
    HeartbeatCall,
    InvalidCall,
    NameVersionCall,
    Outgoing,
    PutConfigCall,
    ReadConfigCall,
    TargetHead,
    ZoneCall,
)
from ._entry import EntryHost
from ._settings import ControlSettings, EntrySettings

__all__ = [
    'CallFacts',
    'ControlCall',
    'ControlDialect',
    'ControlHost',
    'ControlSettings',
    'DepartureCall',
    'EdgeDialect',
    'EntryHost',
    'EntrySettings',
    'HeartbeatCall',
    'InvalidCall',
    'NameVersionCall',
    'Outgoing',
    'PutConfigCall',
    'ReadConfigCall',
    'TargetHead',
    'ZoneCall',
]
