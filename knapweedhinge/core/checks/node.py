"""Checks of one node's settings."""

from collections.abc import Iterator

from knapweedhinge.conf import NodeSettings
from knapweedhinge.core.checks.messages import CheckMessage, Tag, message
from knapweedhinge.core.checks.registry import register

# Seconds within which a change of the configuration takes effect on every node.
MAX_ACTIVATION_S = 4.0
MIN_KEY_CHARS = 16


@register(Tag.NODE, needs=("node",))
def check_times(node: NodeSettings) -> Iterator[CheckMessage]:
    """Check that of each pair in ``_ORDERED_TIMES`` the first time is the shorter."""
    for short_id, lower, upper, reason in _ORDERED_TIMES:
        low, high = _setting(node, lower), _setting(node, upper)
        if low >= high:
            text = f"{lower} ({low} s) is not below {upper} ({high} s)."
            yield message(short_id, lower, text, reason)


@register(Tag.NODE, needs=("node",))
def check_staleness(node: NodeSettings) -> Iterator[CheckMessage]:
    """Check that a partitioned node stops serving before changes must be in effect."""
    stale_after_s = node.peers.stale_after_s
    if stale_after_s >= MAX_ACTIVATION_S:
        yield message(
            "E005",
            "peers.stale_after_s",
            f"A partitioned node serves with old settings for {stale_after_s} s.",
            f"Set it below {MAX_ACTIVATION_S} s; by then a change must be in effect"
            " everywhere.",
        )


@register(Tag.NODE, needs=("node",))
def check_ports(node: NodeSettings) -> Iterator[CheckMessage]:
    """Check that callers and peers use different ports."""
    listen = node.listen
    if listen.port and listen.port == listen.peer_port:
        yield message(
            "E006",
            "listen.peer_port",
            f"Callers and peers share port {listen.port}.",
            "Set another port for peers, or 0.",
        )


@register(Tag.NODE, Tag.KEYS, needs=("node",))
def check_keys(node: NodeSettings) -> Iterator[CheckMessage]:
    """Check that keys are present, long enough, distinct and can be rotated."""
    for name in ("token_keys", "peer_keys"):
        yield from _check_key_list(f"keys.{name}", getattr(node.keys, name))


def _check_key_list(path: str, keys: tuple[str, ...]) -> Iterator[CheckMessage]:
    if not keys:
        yield message("E007", path, "There is no key.", "Add a random key.")
    if len(keys) == 1:
        yield message(
            "W001",
            path,
            "There is only one key, so it can't be rotated under traffic.",
            "Add the next key last on every node, then move it first.",
        )
    for index, key in enumerate(keys):
        if len(key) < MIN_KEY_CHARS:
            text = f"The key has fewer than {MIN_KEY_CHARS} characters."
            yield message("W002", f"{path}[{index}]", text, "Use a random key.")
    if len(set(keys)) < len(keys):
        yield message("E008", path, "A key is listed twice.", "Remove one of the two.")


# Id of the finding, the setting that must be the shorter time, the one that must be the
# longer, and the reason, which is shown as the hint.
_ORDERED_TIMES = (
    (
        "E001",
        "peers.probe_timeout_s",
        "peers.probe_s",
        "A probe must end before the next one starts.",
    ),
    (
        "E002",
        "peers.stamp_age_s",
        "peers.stale_after_s",
        "A node needs time to poll the platform itself before it refuses work.",
    ),
    (
        "E003",
        "platform.poll_s",
        "peers.stamp_age_s",
        "With rarer polls, every node would poll the platform itself.",
    ),
    (
        "E004",
        "http.address_ttl_s",
        "http.shutdown_s",
        "A stopping node serves callers until they have refreshed their addresses.",
    ),
)


def _setting(node: NodeSettings, path: str) -> float:
    section, name = path.split(".")
    return getattr(getattr(node, section), name)
