"""Write bills to the object store, also while another node writes the same ones."""

from typing import Protocol

import msgspec
from loguru import logger

from knapweedhinge.controllers.billing import SealedBatch, UnstoredBills, decode_batch
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import PlatformError


class Objects(Protocol):
    """Methods of the object store that billing uses.

    They raise PlatformError when the store fails.
    """

    async def put_if_absent(self, name: str, data: bytes) -> bool:
        """Store an object; return False if it existed already with equal bytes.

        Raise PlatformError with code OBJECT_EXISTS if it exists with other bytes.
        """

    async def get(self, name: str) -> bytes | None:
        """Return an object's bytes, or None if it doesn't exist."""


async def store_bills(unstored: UnstoredBills, objects: Objects) -> bool:
    """Store the bills and drop them; return False if the object store fails.

    An object that exists with other bytes was written by the node itself, when the
    answer to its write was lost, or by a peer that took the node for dead. Bills that
    this object doesn't contain are stored under the next name.
    """
    while (batch := unstored.seal()) is not None:
        try:
            serials = await _store(batch, objects)
        except PlatformError as exc:
            logger.bind(code=exc.code.number).debug(
                f"bills not stored as {batch.name}: {exc}"
            )
            return False
        unstored.drop_stored(batch, serials)
    return True


async def _store(batch: SealedBatch, objects: Objects) -> tuple[int, ...]:
    """Store a batch; return the serial numbers that its object then contains."""
    try:
        await objects.put_if_absent(batch.name, batch.data)
    except PlatformError as exc:
        if exc.code is not ResultCode.OBJECT_EXISTS:
            raise
        return await _read(batch.name, objects)
    return batch.serials


async def _read(name: str, objects: Objects) -> tuple[int, ...]:
    data = await objects.get(name)
    if data is None:
        raise PlatformError(
            f"object {name} exists according to the write but a read doesn't find it",
            code=ResultCode.PLATFORM_PROTOCOL,
        )
    try:
        return tuple(decode_batch(data).bills)
    except msgspec.MsgspecError as exc:
        logger.error(f"object {name} is not a batch of bills: {exc}")
        return ()
