"""Settings: frozen dataclasses, read from JSON5 files and checked."""

from knapweedhinge.conf.convert import from_mapping, to_mapping, validate
from knapweedhinge.conf.cooperative import (
    ClassOfWork,
    Configuration,
    FailureDomain,
    Organisation,
    RollOut,
    Route,
    Service,
    Version,
    VotedLimits,
    VotingRules,
)
from knapweedhinge.conf.deployment import Deployment, EndpointSpec, EntryVm
from knapweedhinge.conf.loader import (
    load_configuration,
    load_deployment,
    load_node_settings,
)
from knapweedhinge.conf.node import (
    EndpointSettings,
    HttpSettings,
    KeySettings,
    LeaseSettings,
    ListenSettings,
    LogSettings,
    NodeSettings,
    PeerSettings,
    PermitSettings,
    PlatformSettings,
)
from knapweedhinge.conf.problems import Problem

__all__ = [
    "ClassOfWork",
    "Configuration",
    "Deployment",
    "EndpointSettings",
    "EndpointSpec",
    "EntryVm",
    "FailureDomain",
    "HttpSettings",
    "KeySettings",
    "LeaseSettings",
    "ListenSettings",
    "LogSettings",
    "NodeSettings",
    "Organisation",
    "PeerSettings",
    "PermitSettings",
    "PlatformSettings",
    "Problem",
    "RollOut",
    "Route",
    "Service",
    "Version",
    "VotedLimits",
    "VotingRules",
    "from_mapping",
    "load_configuration",
    "load_deployment",
    "load_node_settings",
    "to_mapping",
    "validate",
]
