"""Router fleet between callers and model engines or plain services."""

__all__ = ["__version__"]

__version__ = "0.1.0"
