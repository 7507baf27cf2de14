"""Placement of adapters on engines, and the leader's orders for it."""

from ._demand import DemandMeter
from ._enginestate import EngineState
from ._label import AdapterLabel, name_of_label
from ._modelloads import ModelLoadLimiter
from ._orders import Order, OrderOutcome, OrderResult, TargetReport
from ._planner import USES_TTL_S, AdapterPlanner

__all__ = [
    'USES_TTL_S',
    'AdapterLabel',
    'AdapterPlanner',
    'DemandMeter',
    'EngineState',
    'ModelLoadLimiter',
    'Order',
    'OrderOutcome',
    'OrderResult',
    'TargetReport',
    'name_of_label',
]
