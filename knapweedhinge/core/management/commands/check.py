"""Check settings files without running a node."""

import argparse
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from knapweedhinge.conf import (
    Problem,
    load_configuration,
    load_deployment,
    load_node_settings,
    to_mapping,
)
from knapweedhinge.conf.catalogfile import CatalogFile
from knapweedhinge.conf.differences import Difference, differences
from knapweedhinge.core.checks import CheckMessage, Level, Subject, Tag, run_checks
from knapweedhinge.core.exceptions import ImproperlyConfiguredError
from knapweedhinge.core.management.base import BaseCommand
from knapweedhinge.core.management.errors import CommandError, problem_mapping
from knapweedhinge.core.management.exit_codes import ExitCode
from knapweedhinge.core.management.findings import finding_mapping

LEVELS = {"error": Level.ERROR, "warning": Level.WARNING}


class Command(BaseCommand):
    """Report all problems in settings files at once."""

    help = "Check settings files without a node; all problems are shown at once."
    example = (
        "knapweedhinge check --settings examples/guanacaste/node.json"
        " --configuration examples/guanacaste/configuration.json"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the files, the tags and the level at which the command fails."""
        for name, description in (
            ("--settings", "settings of a node"),
            ("--configuration", "configuration of the co-operative"),
            ("--deployment", "VMs and endpoints of a demo or test"),
            ("--catalog", "catalog that nodes follow, as the operators send it"),
            ("--against", "version in force, to show what differs from it"),
        ):
            parser.add_argument(name, type=Path, metavar="FILE", help=description)
        parser.add_argument(
            "--tag",
            action="append",
            default=[],
            choices=[tag.value for tag in Tag],
            help="run only checks with this tag; may be repeated",
        )
        parser.add_argument(
            "--fail-level",
            choices=tuple(LEVELS),
            default="error",
            help="lowest level of a finding that fails (default: %(default)s)",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Load the given files, run the checks and report the findings."""
        files = (options.settings, options.configuration, options.deployment)
        if not (any(files) or options.catalog):
            raise CommandError(
                "Give --settings, --configuration, --deployment or --catalog."
            )
        replacing = bool(options.configuration) + bool(options.catalog)
        if options.against and replacing != 1:
            raise CommandError("Give --configuration or --catalog beside --against.")
        against = dict.fromkeys(("configuration", "catalog"))
        against["catalog" if options.catalog else "configuration"] = options.against
        problems: list[Problem] = []
        subject = Subject(
            _load(load_node_settings, options.settings, problems),
            _load(load_configuration, options.configuration, problems),
            _load(load_deployment, options.deployment, problems),
            _load(load_configuration, against["configuration"], problems),
            _load(_load_catalog, options.catalog, problems),
            _load(_load_catalog, against["catalog"], problems),
        )
        found = run_checks(subject, [Tag(tag) for tag in options.tag])
        changed = _differences(subject)
        self._report(options, problems, found, changed)
        failing = [
            finding for finding in found if finding.level >= LEVELS[options.fail_level]
        ]
        return ExitCode.SETTINGS if problems or failing else ExitCode.SUCCESS

    def _report(
        self,
        options: argparse.Namespace,
        problems: list[Problem],
        found: tuple[CheckMessage, ...],
        changed: tuple[Difference, ...] | None,
    ) -> None:
        if options.json:
            result = {
                "problems": [problem_mapping(problem) for problem in problems],
                "findings": [finding_mapping(finding) for finding in found],
            }
            if options.against:
                result["differences"] = (
                    None if changed is None else [asdict(item) for item in changed]
                )
            self.write(options, result, "")
            return
        for problem in problems:
            self.warn(f"error: {problem}")
        for finding in found:
            self.warn(f"{finding.level.name.lower()}: {finding}")
        errors = len(problems) + sum(finding.level is Level.ERROR for finding in found)
        warnings = sum(finding.level is Level.WARNING for finding in found)
        lines = [str(difference) for difference in changed or ()]
        if options.against:
            count = "not compared" if changed is None else f"{len(lines)} difference(s)"
            lines.append(count)
        lines.append(f"{errors} error(s), {warnings} warning(s)")
        self.write(options, None, "\n".join(lines))


def _differences(subject: Subject) -> tuple[Difference, ...] | None:
    """Return what differs from the version in force, None unless both are valid."""
    old, new = subject.configuration_in_force, subject.configuration
    if old and new:
        plain = [to_mapping(cfg, show_secrets=True) for cfg in (old, new)]
        return tuple(differences(*plain))
    old, new = subject.catalog_in_force, subject.catalog
    if old and new:
        return tuple(differences(old.body, new.body, old.secrets | new.secrets))
    return None


def _load_catalog(path: Path) -> CatalogFile:
    from knapweedhinge.node import load_catalog

    return load_catalog(path)


def _load(
    load: Callable[[Path], Any], path: Path | None, problems: list[Problem]
) -> Any:
    """Return the loaded file.

    Return None if no path is given or the file is invalid; its problems are then added
    to ``problems``.
    """
    if path is None:
        return None
    try:
        return load(path)
    except ImproperlyConfiguredError as exc:
        problems.extend(exc.problems)
        return None
