"""The chain of stages that relays a call to an endpoint without rewriting it.

``RELAY_CHAIN`` lists the stages, outermost first. They are chained like the filters of
chat calls, and follow the same rules of quarantine and retries with the same result
codes.
"""

from knapweedhinge.filters.relay.admit import AdmitRelay
from knapweedhinge.filters.relay.run import RunRelay
from knapweedhinge.filters.relay.screen import ScreenRelay
from knapweedhinge.filters.relay.shares import ShareRelay
from knapweedhinge.filters.relay.types import (
    AnswerHead,
    AttemptParameters,
    EndpointCodec,
    HeadVerdict,
    PromptPart,
    RelayAnswer,
    RelayCall,
    RelayContext,
    RelayRequest,
    RelayStream,
)

RELAY_CHAIN = (AdmitRelay, ScreenRelay, ShareRelay, RunRelay)

__all__ = [
    "RELAY_CHAIN",
    "AnswerHead",
    "EndpointCodec",
    "HeadVerdict",
    "PromptPart",
    "RelayAnswer",
    "RelayCall",
    "RelayContext",
    "RelayRequest",
    "RelayStream",
    "AttemptParameters",
]
