"""HTTP clients of the platform's services: tables, objects, VMs, weights, ratings.

The platform is the infrastructure outside the fleet of nodes: it stores their durable
state, lists the VMs and rates answers.
"""

from knapweedhinge.backing.breaker import Breaker, BreakerState
from knapweedhinge.backing.budget import CallBudget, TokenBucket
from knapweedhinge.backing.clients import Platform, PlatformState, connect
from knapweedhinge.backing.objects import ObjectClient
from knapweedhinge.backing.ratings import RatingClient
from knapweedhinge.backing.tables import TableClient
from knapweedhinge.backing.types import (
    Rating,
    RatingPage,
    Row,
    Vm,
    Weights,
    Write,
    WriteOutcome,
)
from knapweedhinge.backing.vms import VmListClient
from knapweedhinge.backing.weights import WeightClient

__all__ = [
    "Breaker",
    "BreakerState",
    "CallBudget",
    "ObjectClient",
    "Platform",
    "PlatformState",
    "Rating",
    "RatingClient",
    "RatingPage",
    "Row",
    "TableClient",
    "TokenBucket",
    "Vm",
    "VmListClient",
    "WeightClient",
    "Weights",
    "Write",
    "WriteOutcome",
    "connect",
]
