"""The configuration of a deployment: routes, pools and client accounts."""

from ._index import DeploymentIndex, KeyDigest, digest_key
from ._model import (
    AccountSpec,
    CallerLimits,
    CallKind,
    Deployment,
    EngineSpec,
    ModelSpec,
    PoolSpec,
    RouteSpec,
    ScalingSpec,
    Split,
)

__all__ = [
    'AccountSpec',
    'CallKind',
    'CallerLimits',
    'Deployment',
    'DeploymentIndex',
    'EngineSpec',
    'KeyDigest',
    'ModelSpec',
    'PoolSpec',
    'RouteSpec',
    'ScalingSpec',
    'Split',
    'digest_key',
]
