"""Authenticate callers and operators by their bearer key.

The server does this before it reads the body, so it isn't a filter of the chain.
"""

import hashlib
import hmac

from knapweedhinge.conf import Configuration, Organisation
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError


def key_digest(key: str) -> str:
    """Return the SHA-256 hex digest, which the configuration holds instead of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_organisation(configuration: Configuration, bearer: str) -> Organisation:
    """Return the organisation of a bearer key; raise CallerError if there is none.

    The lookup compares digests, so its duration reveals nothing about valid keys.
    """
    organisation = configuration.organisation_of_key(key_digest(bearer))
    if organisation is None:
        raise CallerError(code=ResultCode.AUTHENTICATION_FAILED)
    return organisation


def is_operator(configuration: Configuration, bearer: str) -> bool:
    """Return whether the key is an operator's, compared in constant time."""
    digest = key_digest(bearer)
    matches = [
        hmac.compare_digest(known, digest)
        for known in configuration.operator_key_sha256
    ]
    return any(matches)
