"""Write the first configuration to a platform that holds none yet."""

import time
import uuid

from knapweedhinge.backing import connect
from knapweedhinge.conf import Configuration, PlatformSettings
from knapweedhinge.controllers.configuration import ConfigurationStore
from knapweedhinge.controllers.configuration_records import RevisionConflict
from knapweedhinge.core.management.errors import CommandError

AUTHOR = "operator"  # recorded as the author of the first revision


async def write_first_revision(cfg: PlatformSettings, first: Configuration) -> int:
    """Write ``first`` as the first revision and return its number.

    Raise ``CommandError`` if the platform already holds a configuration, which is left
    unchanged.
    """
    platform = await connect(cfg)
    store = ConfigurationStore(platform.tables)
    try:
        accepted = await store.append_first_revision(
            first, uuid.uuid4().hex, AUTHOR, time.time()
        )
    except RevisionConflict as exc:
        text = "The platform holds a configuration already; send a change instead."
        raise CommandError(text) from exc
    finally:
        await platform.close()
    return accepted.revision.number
