"""The filters that a request passes on its way to an endpoint, as one chain."""

from knapweedhinge.core.lazy import lazy_exports

EXPORT_MODULES = {
    "Answer": "types",
    "AnyAnswer": "types",
    "CHAIN": "chain",
    "ChatCall": "types",
    "Context": "types",
    "Handler": "types",
    "Request": "types",
    "ServiceCall": "types",
    "StreamAnswer": "types",
    "StreamEnd": "types",
    "build_chain": "chain",
}

__getattr__ = lazy_exports(__name__, EXPORT_MODULES)
__all__ = list(EXPORT_MODULES)
