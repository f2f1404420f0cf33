"""Gossip topics and the scope, expiry and size limits of their entries."""

from dataclasses import dataclass
from enum import StrEnum

KIBIBYTE = 1024
MINUTE_S = 60.0
HOUR_S = 3600.0
DAY_S = 86_400.0


class Scope(StrEnum):
    """Whether entries of a topic are sent within one region or to the whole fleet."""

    REGION = "region"
    FLEET = "fleet"


@dataclass(frozen=True)
class TopicPolicy:
    """How entries of one topic are distributed and how long they are kept.

    Urgent entries are pushed within milliseconds; others are collected and pushed once
    per batch interval. An entry expires ``expiry_s`` after its publication; with None
    it is kept until it is replaced or removed. Topics that are ``repaired`` take part
    in anti-entropy; topics of short-lived entries need not.
    """

    name: str
    urgent: bool = True
    scope: Scope = Scope.FLEET
    expiry_s: float | None = HOUR_S
    max_entries: int = 4_096
    max_payload_bytes: int = 64 * KIBIBYTE
    repaired: bool = True


MEMBER = "member"  # membership records
FORGOTTEN = "forgotten"  # members whose roster row was deleted
DOMAIN_BEACON = "domain-beacon"  # heartbeats of failure domains
REGION_BEACON = "region-beacon"  # heartbeats of regions
CONFIGURATION = "configuration"  # configuration revisions
CONFIRMED_REVISION = "as-of"  # when a revision was last confirmed as the newest
CUT = "cut"  # model versions that a node found bad during their roll-out
QUARANTINE = "quarantine"  # evidence on requests suspected of crashing endpoints
STATISTICS = "statistics"  # a node's statistics
ENDPOINT_REPORT = "endpoint-report"  # nothing publishes or reads it in this release
STORE_READER_STATUS = "reading"  # whether a node reads the store, and how far
ROW_CHANGES = "row-news"  # changed rows of followed tables
WORK_SUMS = "work-sums"  # outstanding work by endpoint, summed over a region's nodes

BEACON_EXPIRY_S = 10.0
CONFIRMED_REVISION_EXPIRY_S = 30.0
REPORT_EXPIRY_S = 30.0
SHORT_EXPIRY_S = 3.0  # for entries that are replaced several times a second

POLICIES = {
    policy.name: policy
    for policy in (
        TopicPolicy(MEMBER, expiry_s=None, max_payload_bytes=KIBIBYTE),
        TopicPolicy(FORGOTTEN, expiry_s=10 * MINUTE_S, max_payload_bytes=KIBIBYTE),
        TopicPolicy(
            DOMAIN_BEACON,
            urgent=False,
            scope=Scope.REGION,
            expiry_s=BEACON_EXPIRY_S,
            max_payload_bytes=KIBIBYTE,
            repaired=False,
        ),
        TopicPolicy(
            REGION_BEACON,
            urgent=False,
            expiry_s=BEACON_EXPIRY_S,
            max_payload_bytes=KIBIBYTE,
            repaired=False,
        ),
        TopicPolicy(CONFIGURATION, expiry_s=None, max_payload_bytes=256 * KIBIBYTE),
        TopicPolicy(
            CONFIRMED_REVISION,
            urgent=False,
            expiry_s=CONFIRMED_REVISION_EXPIRY_S,
            max_payload_bytes=KIBIBYTE,
            repaired=False,
        ),
        TopicPolicy(ROW_CHANGES, max_payload_bytes=256 * KIBIBYTE),
        TopicPolicy(
            STORE_READER_STATUS,
            scope=Scope.REGION,
            expiry_s=SHORT_EXPIRY_S,
            max_payload_bytes=KIBIBYTE,
            repaired=False,
        ),
        TopicPolicy(
            WORK_SUMS, scope=Scope.REGION, expiry_s=SHORT_EXPIRY_S, repaired=False
        ),
        TopicPolicy(CUT, expiry_s=DAY_S),
        TopicPolicy(QUARANTINE, expiry_s=DAY_S),
        TopicPolicy(STATISTICS, urgent=False),
        TopicPolicy(
            ENDPOINT_REPORT,
            urgent=False,
            scope=Scope.REGION,
            expiry_s=REPORT_EXPIRY_S,
            repaired=False,
        ),
    )
}


def policy_of(topic: str) -> TopicPolicy:
    """Return the policy of a topic.

    A topic that only a newer release knows gets the default limits.
    """
    return POLICIES.get(topic) or TopicPolicy(topic)
