"""Determine which versions an organisation may use for a class of work.

The result depends on the configuration revision and on the versions that nodes have cut
(stopped using) since. ``AllowedIndex`` is built once for each such state, and caches
its results, so that a lookup is a dictionary access.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from knapweedhinge.conf.cooperative import ClassOfWork, Configuration, Version
from knapweedhinge.core.codes import ResultCode


class Exclusion(StrEnum):
    """Why a version may not serve a request.

    ``CUT``: during its roll-out, a node found that it fails, is slow or is badly rated
    too often. ``UNDEFINED``: the class lists a version that the configuration does not
    define.
    """

    NOT_IN_CLASS = "not-in-class"
    NOT_ALLOWED = "not-allowed"
    WITHDRAWN = "withdrawn"
    CUT = "cut"
    ROLLED_BACK = "rolled-back"
    UNDEFINED = "undefined"


_EXCLUSION_CODES = {
    Exclusion.NOT_IN_CLASS: ResultCode.CLASS_UNKNOWN,
    Exclusion.NOT_ALLOWED: ResultCode.VERSION_NOT_ALLOWED,
    Exclusion.WITHDRAWN: ResultCode.VERSION_WITHDRAWN,
    Exclusion.CUT: ResultCode.VERSION_WITHDRAWN,
    Exclusion.ROLLED_BACK: ResultCode.VERSION_WITHDRAWN,
    Exclusion.UNDEFINED: ResultCode.CLASS_UNKNOWN,
}

_REVOKED = {Exclusion.WITHDRAWN, Exclusion.CUT, Exclusion.ROLLED_BACK}


@dataclass(frozen=True)
class ExcludedVersion:
    """A version that may not be used, and why."""

    version: str
    reason: Exclusion

    @property
    def code(self) -> ResultCode:
        """Return the result code of a request that names the version."""
        return _EXCLUSION_CODES[self.reason]


@dataclass(frozen=True)
class AllowedSet:
    """The versions that one organisation may use for one class at one revision.

    ``excluded`` are the class's other versions. ``group`` is the same for all sets of
    an index that have the same versions, so that results can be shared between them.
    """

    organisation: str
    class_id: str
    revision: int
    versions: tuple[Version, ...]
    excluded: tuple[ExcludedVersion, ...]
    group: int = 0
    by_id: dict[str, Version] = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        """Index the versions by id."""
        by_id = {version.id: version for version in self.versions}
        object.__setattr__(self, "by_id", by_id)

    def version(self, version_id: str) -> Version | None:
        """Return the allowed version with this id, or None."""
        return self.by_id.get(version_id)

    def exclusion(self, version_id: str) -> ExcludedVersion | None:
        """Return why the version is excluded, or None if it is allowed."""
        if self.version(version_id) is not None:
            return None
        known = (
            excluded for excluded in self.excluded if excluded.version == version_id
        )
        return next(known, ExcludedVersion(version_id, Exclusion.NOT_IN_CLASS))

    @property
    def refusal(self) -> ResultCode:
        """Return the result code of a request for which no version is allowed."""
        reasons = {excluded.reason for excluded in self.excluded}
        if reasons and reasons <= {Exclusion.NOT_ALLOWED, Exclusion.UNDEFINED}:
            return ResultCode.VERSION_NOT_ALLOWED
        if reasons and reasons <= _REVOKED:
            return ResultCode.VERSION_WITHDRAWN
        return ResultCode.NO_PLAN


class AllowedIndex:
    """The allowed sets of one configuration revision, computed on first use.

    ``cuts`` holds the versions that this node or its peers have cut. Those that the
    configuration already shows as withdrawn are excluded as ``WITHDRAWN``.
    """

    def __init__(self, cfg: Configuration, cuts: Iterable[str] = ()):
        self.cfg = cfg
        self.cuts = frozenset(cuts)
        self._rolled_back = _rolled_back(cfg)
        self._versions = {version.id: version for version in cfg.versions}
        self._classes = {work_class.id: work_class for work_class in cfg.classes}
        self._organisations = {
            organisation.id: organisation for organisation in cfg.organisations
        }
        self._groups: dict[tuple[str, ...], int] = {}
        self._sets: dict[tuple[str, str], AllowedSet] = {}

    def allowed(self, organisation_id: str, class_id: str) -> AllowedSet:
        """Return the allowed set; empty for an unknown organisation or class."""
        key = (organisation_id, class_id)
        found = self._sets.get(key)
        if found is None:
            found = self._compute_set(organisation_id, class_id)
            if class_id in self._classes and organisation_id in self._organisations:
                self._sets[key] = found
        return found

    def work_class(self, class_id: str) -> ClassOfWork | None:
        """Return the class of work with this id, or None."""
        return self._classes.get(class_id)

    def may_run(self, organisation_id: str, class_id: str, version_id: str) -> bool:
        """Return whether the version may run; checked again right before dispatch."""
        return self.allowed(organisation_id, class_id).version(version_id) is not None

    def _compute_set(self, organisation_id: str, class_id: str) -> AllowedSet:
        work_class = self._classes.get(class_id)
        organisation = self._organisations.get(organisation_id)
        ids = work_class.versions if work_class else ()
        allowed_ids = frozenset(organisation.allowed_versions if organisation else ())
        versions = []
        excluded = []
        for version_id in ids:
            reason = self._exclusion(version_id, allowed_ids)
            if reason is None:
                versions.append(self._versions[version_id])
            else:
                excluded.append(ExcludedVersion(version_id, reason))
        kept_ids = tuple(version.id for version in versions)
        return AllowedSet(
            organisation=organisation_id,
            class_id=class_id,
            revision=self.cfg.revision,
            versions=tuple(versions),
            excluded=tuple(excluded),
            group=self._groups.setdefault(kept_ids, len(self._groups)),
        )

    def _exclusion(self, version_id: str, allowed_ids: frozenset) -> Exclusion | None:
        version = self._versions.get(version_id)
        if version is None:
            return Exclusion.UNDEFINED
        if version_id not in allowed_ids:
            return Exclusion.NOT_ALLOWED
        if version.withdrawn:
            return Exclusion.WITHDRAWN
        if version_id in self.cuts:
            return Exclusion.CUT
        if version_id in self._rolled_back:
            return Exclusion.ROLLED_BACK
        return None


def _rolled_back(cfg: Configuration) -> frozenset[str]:
    """Return the versions whose latest roll-out was rolled back.

    Versions without a roll-out, or with a finished one, are not restricted.
    """
    newest = {roll_out.version: roll_out.state for roll_out in cfg.roll_outs}
    return frozenset(name for name, state in newest.items() if state == "rolled-back")
