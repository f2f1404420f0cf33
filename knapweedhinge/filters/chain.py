"""The chain of filters that chat requests and calls to plain services pass."""

from knapweedhinge.filters.admit import Admit
from knapweedhinge.filters.bill import BillFilter
from knapweedhinge.filters.cascade import Cascade
from knapweedhinge.filters.choose import ChoosePlan
from knapweedhinge.filters.deduplicate import Deduplicate
from knapweedhinge.filters.dispatch import Dispatch
from knapweedhinge.filters.pin import Pin
from knapweedhinge.filters.quarantine import Quarantine
from knapweedhinge.filters.queue import Queue
from knapweedhinge.filters.resume import Resume
from knapweedhinge.filters.retry import Retry
from knapweedhinge.filters.types import Context, Handler

# Outermost first: each filter passes the request on to the next one.
CHAIN = (
    Admit,
    Resume,
    BillFilter,
    Deduplicate,
    Pin,
    Queue,
    ChoosePlan,
    Cascade,
    Retry,
    Quarantine,
    Dispatch,
)


def build_chain(ctx: Context) -> Handler:
    """Return a handler that passes a request through all filters of ``CHAIN``."""
    handler: Handler | None = None
    for filter_class in reversed(CHAIN):
        handler = filter_class(ctx, handler)
    return handler
