"""An HTTP router for versions and cascades of language models and for services."""

__version__ = "0.1.0"
