"""Format checks of text settings: ids, names, paths, IP addresses, URLs, digests."""

import ipaddress
import re
from urllib.parse import urlsplit

from knapweedhinge.conf.fields import Format

MAX_ID_CHARS = 100
_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@:/-]*")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_PATH = re.compile(r"[^/*?#\s][^*?#\s]*\*?|\*")
_SHA256 = re.compile(r"[0-9a-f]{64}")


def expected_text(text_format: Format) -> str:
    """Return a description of the format, for error messages."""
    return _EXPECTED[text_format]


def matches(text: str, text_format: Format) -> bool:
    """Return whether the text has the format."""
    return _CHECKS[text_format](text)


def is_ip(text: str) -> bool:
    """Return whether the text is an IPv4 or IPv6 address rather than a host name."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_id(text: str) -> bool:
    return len(text) <= MAX_ID_CHARS and _ID.fullmatch(text) is not None


def _is_name(text: str) -> bool:
    return len(text) <= MAX_ID_CHARS and _NAME.fullmatch(text) is not None


def _is_path(text: str) -> bool:
    return _PATH.fullmatch(text) is not None


def _is_ip_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        port_is_valid = parts.port is None or parts.port > 0
    except ValueError:
        return False
    is_http = parts.scheme in ("http", "https")
    return is_http and port_is_valid and is_ip(parts.hostname or "")


def _is_sha256(text: str) -> bool:
    return _SHA256.fullmatch(text) is not None


_CHECKS = {
    Format.TEXT: lambda text: True,
    Format.ID: _is_id,
    Format.NAME: _is_name,
    Format.PATH: _is_path,
    Format.IP: is_ip,
    Format.IP_URL: _is_ip_url,
    Format.SHA256: _is_sha256,
}

_EXPECTED = {
    Format.TEXT: "a string",
    Format.ID: (
        f"an id of at most {MAX_ID_CHARS} letters, digits and ._@:/-,"
        " with a letter or digit first"
    ),
    Format.NAME: (
        f"a name of at most {MAX_ID_CHARS} letters, digits and ._-,"
        " with a letter or digit first"
    ),
    Format.PATH: "a path without a first /, with * only as its last character",
    Format.IP: "an IP number such as 10.0.0.7, not a host name",
    Format.IP_URL: "a URL with an IP number such as http://10.0.0.7:8080",
    Format.SHA256: "64 lower-case hex digits",
}
