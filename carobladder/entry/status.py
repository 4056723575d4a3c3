"""Readiness and metrics of an instance."""

from collections.abc import Callable

from carobladder.exceptions import NotReadyError
from carobladder.gateway.ports import Answer, Request, Responder
from carobladder.telemetry import ForwardMetrics

__all__ = ["METRICS_PATH", "StatusHandler"]

METRICS_PATH = "/metrics"
_TEXT = (("Content-Type", "text/plain; charset=utf-8"),)


class StatusHandler:
    """Answer the metrics on their path and the readiness on any other."""

    def __init__(self, metrics: ForwardMetrics, is_ready: Callable[[], bool]) -> None:
        self._metrics = metrics
        self._is_ready = is_ready

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer 200, or 503 while callers must not be sent here."""
        if request.path == METRICS_PATH:
            headers = (("Content-Type", self._metrics.content_type),)
            await responder.send_answer(Answer(200, headers, self._metrics.render()))
            return
        if not self._is_ready():
            raise NotReadyError("the instance is starting, draining or out of touch")
        await responder.send_answer(Answer(200, _TEXT, b"ready\n"))
