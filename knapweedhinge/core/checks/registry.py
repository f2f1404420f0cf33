"""Registry that collects system checks and runs them by tag."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from knapweedhinge.core.checks.messages import CheckMessage, Level, Subject, Tag

Check = Callable[..., Iterable[CheckMessage]]


@dataclass(frozen=True)
class RegisteredCheck:
    """Hold a check with its tags and the fields of ``Subject`` that it takes."""

    check: Check
    tags: frozenset[Tag]
    needs: tuple[str, ...]

    def run(self, subject: Subject) -> Iterable[CheckMessage]:
        """Return the findings, none if a field that the check needs is None."""
        parts = [getattr(subject, name) for name in self.needs]
        return () if None in parts else self.check(*parts)


@dataclass(frozen=True)
class CheckRegistry:
    """Hold checks in the order of their registration."""

    checks: list[RegisteredCheck] = field(default_factory=list)

    def register(self, *tags: Tag, needs: tuple[str, ...]) -> Callable[[Check], Check]:
        """Return a decorator that registers a check under the tags.

        ``needs`` names the fields of ``Subject`` that the check takes.
        """

        def decorate(check: Check) -> Check:
            self.checks.append(RegisteredCheck(check, frozenset(tags), needs))
            return check

        return decorate

    def run(
        self, subject: Subject, tags: Collection[Tag] = ()
    ) -> tuple[CheckMessage, ...]:
        """Run the checks with any of the tags and return the findings.

        If no tags are given, all checks run. Errors come first; findings of the same
        level are ordered by id and path.
        """
        wanted = frozenset(tags) or frozenset(Tag)
        found = [
            finding
            for registered in self.checks
            if registered.tags & wanted
            for finding in registered.run(subject)
        ]
        return tuple(
            sorted(
                found, key=lambda finding: (-finding.level, finding.id, finding.path)
            )
        )


registry = CheckRegistry()
register = registry.register


def run_checks(
    subject: Subject, tags: Collection[Tag] = ()
) -> tuple[CheckMessage, ...]:
    """Run the registered checks with any of the tags, or all if none are given."""
    return registry.run(subject, tags)


def has_errors(found: Iterable[CheckMessage]) -> bool:
    """Return whether any finding is an error."""
    return any(finding.level >= Level.ERROR for finding in found)
