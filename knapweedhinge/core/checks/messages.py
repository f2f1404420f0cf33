"""The input of system checks and the findings that they report."""

from dataclasses import dataclass
from enum import IntEnum, StrEnum

from knapweedhinge.conf import Configuration, Deployment, NodeSettings
from knapweedhinge.conf.catalogfile import CatalogFile


class Level(IntEnum):
    """Severity of a finding; an error keeps the node from starting."""

    WARNING = 30
    ERROR = 40


class Tag(StrEnum):
    """Area of the settings by which checks are selected."""

    NODE = "node"
    KEYS = "keys"
    ORGANISATIONS = "organisations"
    CLASSES = "classes"
    ROLL_OUTS = "roll-outs"
    SERVICES = "services"
    FAILURE_DOMAINS = "failure-domains"
    VOTING = "voting"
    DEPLOYMENT = "deployment"
    CATALOG = "catalog"
    DIFFERENCES = "differences"


@dataclass(frozen=True)
class Subject:
    """Hold the settings to check; checks of parts that are None are skipped.

    What is ``in_force`` is compared with the part that replaces it.
    """

    node: NodeSettings | None = None
    configuration: Configuration | None = None
    deployment: Deployment | None = None
    configuration_in_force: Configuration | None = None
    catalog: CatalogFile | None = None
    catalog_in_force: CatalogFile | None = None


@dataclass(frozen=True)
class CheckMessage:
    """Report one finding of a check.

    ``id`` is, for example, ``knapweedhinge.E001``: E for an error, W for a warning.
    ``path`` names the setting, ``hint`` says how to correct it.
    """

    id: str
    path: str
    message: str
    hint: str

    @property
    def level(self) -> Level:
        """Return the severity, which follows from the letter of ``id``."""
        letter = self.id.rpartition(".")[2][0]
        return Level.ERROR if letter == "E" else Level.WARNING

    def __str__(self) -> str:
        """Return the finding with its hint on one line."""
        return f"{self.path}: ({self.id}) {self.message} HINT: {self.hint}"


def message(short_id: str, path: str, text: str, hint: str) -> CheckMessage:
    """Return a finding; ``short_id`` is its id without the prefix, such as ``E001``."""
    return CheckMessage(f"knapweedhinge.{short_id}", path, text, hint)
