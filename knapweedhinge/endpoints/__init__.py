"""Clients of model engines and plain services."""

from knapweedhinge.core.lazy import lazy_exports

EXPORT_MODULES = {
    "EndpointStatus": "types",
    "EndpointResponse": "responses",
    "EngineCall": "types",
    "EngineClient": "engine",
    "EventChecker": "sse",
    "PlainAnswer": "types",
    "PlainCall": "types",
    "PlainClient": "plain",
    "StallWatch": "engine",
    "Usage": "types",
    "read_chunk": "engine",
}

__getattr__ = lazy_exports(__name__, EXPORT_MODULES)
__all__ = list(EXPORT_MODULES)
