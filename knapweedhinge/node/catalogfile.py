"""What the commands may import of the platform's catalog files."""

from knapweedhinge.platform.catalogfile import load_catalog

__all__ = ["load_catalog"]
