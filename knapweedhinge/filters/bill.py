"""Bill each answered request once."""

from dataclasses import replace

from knapweedhinge.conf import Configuration
from knapweedhinge.controllers.billing import Bill
from knapweedhinge.endpoints import Usage
from knapweedhinge.filters.types import (
    Answer,
    AnyAnswer,
    ChatCall,
    Context,
    Handler,
    Request,
    Step,
    StreamEnd,
)

TOKENS_PER_PRICE_UNIT = 1_000  # prices are set for this many tokens


class BillFilter:
    """Store the bill of a request safely before the end of its answer is sent."""

    def __init__(self, ctx: Context, call_next: Handler):
        self._bills = ctx.bills
        self._next = call_next

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the request on and bill its answer."""
        answer = await self._next(req)
        if isinstance(answer, Answer):
            if not answer.billed:
                await self._bills.keep(make_bill(req, answer.version, answer.steps))
            return answer

        async def bill_stream(end: StreamEnd) -> None:
            await self._bills.keep(make_bill(req, end.version, end.steps))

        return replace(answer, on_end=(*answer.on_end, bill_stream))


def make_bill(req: Request, version_id: str, steps: tuple[Step, ...]) -> Bill:
    """Return the bill of an answered request, summed over the steps of a cascade."""
    if isinstance(req.call, ChatCall):
        configuration = req.snapshot.configuration
        micros = sum(
            price_micros(configuration, step.version, step.usage) for step in steps
        )
    else:
        micros = req.route.micros_per_call
    return Bill(
        req.request_id,
        req.organisation.id,
        req.class_id,
        version_id,
        sum(step.usage.input_tokens for step in steps),
        sum(step.usage.output_tokens for step in steps),
        micros,
    )


def price_micros(configuration: Configuration, version_id: str, usage: Usage) -> int:
    """Return the price of an answer in millionths of the currency unit, rounded up."""
    version = configuration.version(version_id)
    total = (
        usage.input_tokens * version.input_micros_per_1k
        + usage.output_tokens * version.output_micros_per_1k
    )
    return -(-total // TOKENS_PER_PRICE_UNIT)
