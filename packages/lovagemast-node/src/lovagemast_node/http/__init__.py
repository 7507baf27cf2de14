"""HTTP/1.1 at both edges, strict about what is a whole message."""

from ._client import (
    ConnectFailed,
    ResponseData,
    ResponseEnd,
    ResponseFailed,
    ResponseHead,
    TargetConnection,
    TargetPool,
)
from ._message import (
    Headers,
    HttpRequest,
    encode_head,
    end_to_end,
    header_value,
)
from ._server import HttpServer, Responder, ServerLimits
from ._sockets import split_address

__all__ = [
    'ConnectFailed',
    'Headers',
    'HttpRequest',
    'HttpServer',
    'Responder',
    'ResponseData',
    'ResponseEnd',
    'ResponseFailed',
    'ResponseHead',
    'ServerLimits',
    'TargetConnection',
    'TargetPool',
    'encode_head',
    'end_to_end',
    'header_value',
    'split_address',
]
