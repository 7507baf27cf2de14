"""Entry and control servers for deployments hosted by a platform.

A platform package supplies the settings and the codecs, which translate
between the platform's wire format and the types of lovagemast-core. Sockets,
storage and the request path are implemented here.
"""

from ._codec import (
    ControlCall,
    ControlCodec,
    DepartureCall,
    EntryCodec,
    HeartbeatCall,
    InvalidCall,
    NameVersionCall,
    PutConfigCall,
    ReadConfigCall,
    RequestMetadata,
    TargetRequestMetadata,
    TargetResponseMetadata,
    ZoneCall,
)
from ._control import ControlServer
from ._entry import EntryServer
from ._settings import CloudSettings, ControlSettings, EntrySettings

__all__ = [
    'CloudSettings',
    'ControlCall',
    'ControlCodec',
    'ControlServer',
    'ControlSettings',
    'DepartureCall',
    'EntryCodec',
    'EntryServer',
    'EntrySettings',
    'HeartbeatCall',
    'InvalidCall',
    'NameVersionCall',
    'PutConfigCall',
    'ReadConfigCall',
    'RequestMetadata',
    'TargetRequestMetadata',
    'TargetResponseMetadata',
    'ZoneCall',
]
