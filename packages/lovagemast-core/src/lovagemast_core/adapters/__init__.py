"""Which adapters the engines hold: the leader's plan and its orders."""

from ._demand import DemandMeter
from ._engine import EngineState
from ._label import AdapterLabel
from ._orders import Order, OrderOutcome, OrderResult, TargetReport
from ._planner import AdapterPlanner
from ._store import StoreRate

__all__ = [
    'AdapterLabel',
    'AdapterPlanner',
    'DemandMeter',
    'EngineState',
    'Order',
    'OrderOutcome',
    'OrderResult',
    'StoreRate',
    'TargetReport',
]
