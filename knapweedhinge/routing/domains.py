"""Effect on routing of failure domains that are taken out or return.

A returning domain gets a growing share of its usual work, in case it isn't healthy yet.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from knapweedhinge.conf.cooperative import FailureDomain
from knapweedhinge.routing.load import EndpointState, EndpointView

START_SHARE = 0.1  # share of its usual work that a returning domain gets first
FULL_SHARE = 1.0  # share at which a domain has returned completely
STEP_FACTOR = 2.0  # factor of each step up or down
STEP_S = 2.0  # shortest time before a step up with enough answers
FEW_ANSWERS_STEP_S = 10.0  # time before a step up with too few answers
MIN_ANSWERS = 10  # answers needed to judge a step
MIN_OK_SHARE = 0.9  # share of good answers below which the work is reduced


@dataclass(frozen=True, slots=True)
class DomainRamp:
    """Gradual return of a failure domain, by the answers seen at one node.

    ``share`` is the part of its usual work that the domain gets. It doubles after
    ``STEP_S`` if enough answers of the domain were good, and after
    ``FEW_ANSWERS_STEP_S`` if there were too few to judge and none failed. It halves if
    too many failed. ``answers`` and ``failures`` count since ``stepped_at``, the time
    of the last step.
    """

    domain: str
    stepped_at: float
    share: float = START_SHARE
    answers: int = 0
    failures: int = 0

    def answered(self, ok: bool, now: float) -> "DomainRamp":
        """Return the ramp after an answer of the domain; ``ok`` if it was good."""
        counted = replace(
            self, answers=self.answers + 1, failures=self.failures + (not ok)
        )
        return counted.advanced(now)

    def advanced(self, now: float) -> "DomainRamp":
        """Return the ramp after the step up or down that is due at ``now``, if any."""
        if self.answers >= MIN_ANSWERS:
            if self.failures > self.answers * (1 - MIN_OK_SHARE):
                return self._stepped(self.share / STEP_FACTOR, now)
            due = now - self.stepped_at >= STEP_S
        else:
            due = not self.failures and now - self.stepped_at >= FEW_ANSWERS_STEP_S
        return self._stepped(self.share * STEP_FACTOR, now) if due else self

    def is_over(self) -> bool:
        """Return whether the domain gets all of its usual work again."""
        return self.share >= FULL_SHARE

    def _stepped(self, share: float, now: float) -> "DomainRamp":
        bounded = min(FULL_SHARE, max(share, START_SHARE / STEP_FACTOR))
        return DomainRamp(self.domain, now, bounded)


@dataclass(frozen=True, slots=True)
class DomainStates:
    """Failure domains that are out of service, and ramps of those returning."""

    out: frozenset[str] = frozenset()
    ramps: tuple[DomainRamp, ...] = ()

    def configured(
        self, domains: Iterable[FailureDomain], now: float
    ) -> "DomainStates":
        """Return the states under a new configuration.

        A ramp is started for each domain that was out and no longer is.
        """
        out = frozenset(domain.id for domain in domains if domain.out)
        states = replace(self, out=out)
        kept = tuple(ramp for ramp in self.ramps if ramp.domain not in out)
        states = replace(states, ramps=kept)
        for domain in sorted(self.out - out):
            states = states.returned(domain, now)
        return states

    def returned(self, domain: str, now: float) -> "DomainStates":
        """Return the states with a new ramp for a domain that is available again.

        It may have been taken out, or have been lost unplanned.
        """
        others = tuple(ramp for ramp in self.ramps if ramp.domain != domain)
        return replace(self, ramps=(*others, DomainRamp(domain, now)))

    def answered(self, domain: str, ok: bool, now: float) -> "DomainStates":
        """Return the states after an answer of an endpoint in the domain."""
        if all(ramp.domain != domain for ramp in self.ramps):
            return self
        ramps = (
            ramp.answered(ok, now) if ramp.domain == domain else ramp
            for ramp in self.ramps
        )
        return replace(self, ramps=_unfinished(ramps))

    def advanced(self, now: float) -> "DomainStates":
        """Return the states after the ramp steps that are due at ``now``."""
        return replace(
            self, ramps=_unfinished(ramp.advanced(now) for ramp in self.ramps)
        )

    def shares(self) -> dict[str, float]:
        """Return the share of its usual work for each returning domain."""
        return {ramp.domain: ramp.share for ramp in self.ramps}


@dataclass(frozen=True, slots=True)
class RemainingCapacity:
    """Usable request slots of a version, as a number and as a share of all its slots.

    Slots of dead endpoints don't count in either.
    """

    version: str
    slots: int
    share: float


def remaining_capacity(
    version: str, endpoints: Iterable[EndpointView], states: DomainStates
) -> RemainingCapacity:
    """Return the slots of a version that may be used.

    Slots in domains that are out or on leaving endpoints don't count; those in
    returning domains count by the share of their ramp.
    """
    shares = states.shares()
    usable = 0.0
    total = 0
    for endpoint in endpoints:
        if version not in endpoint.versions or endpoint.state is EndpointState.DEAD:
            continue
        total += endpoint.report.slots
        if endpoint.state is EndpointState.LEAVING:
            continue
        if endpoint.failure_domain not in states.out:
            part = shares.get(endpoint.failure_domain, FULL_SHARE)
            usable += part * endpoint.report.slots
    return RemainingCapacity(version, int(usable), usable / total if total else 0.0)


def _unfinished(ramps: Iterable[DomainRamp]) -> tuple[DomainRamp, ...]:
    return tuple(ramp for ramp in ramps if not ramp.is_over())
