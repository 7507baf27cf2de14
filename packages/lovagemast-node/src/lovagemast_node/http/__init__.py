"""An HTTP/1.1 server and client that check message framing strictly."""

from ._bodybudget import FREE_BYTES, MAX_BODIES_BYTES, BodyBudget, BodyShare
from ._boundedreads import READ_BYTES, BoundedReads
from ._client import (
    ConnectFailed,
    ResponseData,
    ResponseEnd,
    ResponseEvent,
    ResponseFailed,
    ResponseHead,
    TargetConnection,
)
from ._connectiontable import ClosingRank, ConnectionTable
from ._eventqueue import EventQueue
from ._message import (
    Headers,
    HttpRequest,
    encode_head,
    end_to_end,
    header_value,
)
from ._reader import RefusalStatus
from ._resourcelimits import READ_ONLY_LIMITS, ServerLimits, VmLimits
from ._responder import AlreadyStartedError, Responder
from ._responsesize import MAX_BODY_BYTES, MAX_EVENT_BYTES, check_size
from ._server import HttpServer
from ._sockets import ACCEPT_BATCH, extend_backlog, split_address
from ._targetpool import TargetPool
from ._turnshare import TurnShare

__all__ = [
    'ACCEPT_BATCH',
    'FREE_BYTES',
    'MAX_BODIES_BYTES',
    'MAX_BODY_BYTES',
    'MAX_EVENT_BYTES',
    'READ_BYTES',
    'READ_ONLY_LIMITS',
    'AlreadyStartedError',
    'BodyBudget',
    'BodyShare',
    'BoundedReads',
    'ClosingRank',
    'ConnectFailed',
    'ConnectionTable',
    'EventQueue',
    'Headers',
    'HttpRequest',
    'HttpServer',
    'RefusalStatus',
    'Responder',
    'ResponseData',
    'ResponseEnd',
    'ResponseEvent',
    'ResponseFailed',
    'ResponseHead',
    'ServerLimits',
    'TargetConnection',
    'TargetPool',
    'TurnShare',
    'VmLimits',
    'check_size',
    'encode_head',
    'end_to_end',
    'extend_backlog',
    'header_value',
    'split_address',
]
