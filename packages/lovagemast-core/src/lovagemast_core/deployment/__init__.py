"""The configuration of a deployment: routes, pools and client accounts."""

from ._index import DeploymentIndex, KeyDigest, digest_key
from ._model import (
    AccountSpec,
    CallKind,
    Deployment,
    EdgeLimits,
    EngineSpec,
    ModelSpec,
    PoolSpec,
    RouteSpec,
    Split,
)

__all__ = [
    'AccountSpec',
    'CallKind',
    'Deployment',
    'DeploymentIndex',
    'EdgeLimits',
    'EngineSpec',
    'KeyDigest',
    'ModelSpec',
    'PoolSpec',
    'RouteSpec',
    'Split',
    'digest_key',
]
