"""Dispatch of requests to handlers by path."""

from collections.abc import Callable

from carobladder.exceptions import (
    MethodNotAllowedError,
    NotReadyError,
    ShuttingDownError,
)
from carobladder.gateway.ports import Answer, Handler, Request, Responder
from carobladder.telemetry import GatewayMetrics

__all__ = ["ADMIN_PREFIX", "CHAT_PATH", "Router"]

ADMIN_PREFIX = "/admin/v1/"
CHAT_PATH = "/v1/chat/completions"
_READ_METHODS = frozenset({"GET", "HEAD"})
_TEXT_HEADERS = (("Content-Type", "text/plain; charset=utf-8"),)


class Router:
    """Handler that dispatches each request to the handler of its path."""

    def __init__(
        self,
        *,
        chats: Handler,
        services: Handler,
        admin: Handler,
        metrics: GatewayMetrics,
        is_ready: Callable[[], bool],
    ) -> None:
        self._chats = chats
        self._services = services
        self._admin = admin
        self._metrics = metrics
        self._is_ready = is_ready

    async def handle(self, request: Request, responder: Responder) -> None:
        """Respond to the request through the handler of its path."""
        path = request.path
        if request.server_end is not None:
            raise ShuttingDownError("the instance shuts down")
        if path == CHAT_PATH:
            _require_method(request, frozenset({"POST"}))
            await self._chats.handle(request, responder)
        elif path.startswith(ADMIN_PREFIX):
            await self._admin.handle(request, responder)
        elif path in ("/healthz", "/readyz", "/metrics"):
            _require_method(request, _READ_METHODS)
            await responder.send_answer(self._build_status_answer(path))
        else:
            await self._services.handle(request, responder)

    def _build_status_answer(self, path: str) -> Answer:
        if path == "/metrics":
            headers = (("Content-Type", self._metrics.content_type),)
            return Answer(200, headers, self._metrics.render())
        if path == "/readyz" and not self._is_ready():
            raise NotReadyError("the instance is starting or draining")
        return Answer(200, _TEXT_HEADERS, b"ok\n")


def _require_method(request: Request, methods: frozenset[str]) -> None:
    if request.method not in methods:
        allowed = ", ".join(sorted(methods))
        raise MethodNotAllowedError(
            f"{request.path} supports {allowed} only", allowed=allowed
        )
