"""A simulated model engine in virtual time.

The engine computes the prefill of one prompt at a time, interleaved with the decoding
of its batch.
"""

from dataclasses import dataclass, field

STEP_S = 0.01  # virtual time that one step of an engine covers

# Prefill speed of a model with time factor 1, from the users' data sheets.
PREFILL_TOKENS_PER_S = 55_000.0

# A decode step gives each call of the batch one token. With time factor 1 it takes a
# fixed time, and a further time for each call of the batch.
DECODE_STEP_S = 0.00289
DECODE_STEP_PER_CALL_S = 0.000101

# Largest share of a step that prefill may take from decoding.
PREFILL_TIME_SHARE = 0.7

# Factor on prefill and decode times, by model size.
TIME_FACTORS = {"small": 0.3, "middle": 0.8, "large": 3.0}


@dataclass
class Job:
    """A call that an engine runs.

    ``prefill_left_s`` is the engine time that its prompt still needs, ``tokens_left``
    the number of output tokens still to come, and ``first_token_at`` the virtual time
    of the first one.
    """

    model: str
    prefill_left_s: float
    tokens_left: float
    first_token_at: float | None = None
    done: bool = False


@dataclass
class Engine:
    """An engine with the calls it runs and the prompt parts in its KV cache.

    ``cached_parts`` holds pairs of a model and the name of a prompt part. The cache has
    no limit: a part stays in it for the whole simulation.
    """

    id: str
    jobs: list[Job] = field(default_factory=list)
    cached_parts: set[tuple[str, str]] = field(default_factory=set)

    def start(
        self, model: str, parts: tuple[tuple[str, int], ...], output_tokens: int
    ) -> Job:
        """Start a call and return its job.

        ``parts`` are the name and the tokens of each prompt part. Only those that
        aren't in the KV cache of the model need prefill.
        """
        uncached_tokens = 0
        for name, tokens in parts:
            if (model, name) not in self.cached_parts:
                uncached_tokens += tokens
                self.cached_parts.add((model, name))
        job = Job(
            model,
            TIME_FACTORS[model] * uncached_tokens / PREFILL_TOKENS_PER_S,
            float(output_tokens),
        )
        self.jobs.append(job)
        return job

    def cancel(self, job: Job) -> None:
        """Cancel a call; without effect if it has ended."""
        if job in self.jobs:
            self.jobs.remove(job)

    def step(self, now: float) -> None:
        """Run the engine for ``STEP_S`` seconds of virtual time.

        The batch are the calls whose prefill is complete. The slowest model among them
        sets the time of a token for all of them.
        """
        left_s = STEP_S
        prefilling = next((job for job in self.jobs if job.prefill_left_s > 0), None)
        if prefilling is not None:
            spent_s = min(PREFILL_TIME_SHARE * STEP_S, prefilling.prefill_left_s)
            prefilling.prefill_left_s -= spent_s
            left_s -= spent_s
        batch = [job for job in self.jobs if job.prefill_left_s <= 0]
        if not batch:
            return
        time_factor = max(TIME_FACTORS[job.model] for job in batch)
        token_s = time_factor * (DECODE_STEP_S + DECODE_STEP_PER_CALL_S * len(batch))
        for job in batch:
            if job.first_token_at is None:
                job.first_token_at = now
            job.tokens_left -= left_s / token_s
            job.done = job.tokens_left <= 0
        self.jobs = [job for job in self.jobs if not job.done]
