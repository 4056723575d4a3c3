"""Model engine: continuous batching, prefix cache, cold start and versions."""

from standins.engine.app import EngineApp
from standins.engine.options import EngineOptions
from standins.engine.text import expected_text

__all__ = ["EngineApp", "EngineOptions", "expected_text"]
