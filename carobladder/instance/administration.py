"""Adapter between the gateway and the operator interface."""

import contextlib
from collections.abc import AsyncGenerator
from urllib.parse import parse_qsl

from carobladder.admin.api import AdminApi, AdminRequest
from carobladder.gateway.ports import Answer, Request, Responder

__all__ = ["AdminHandler"]


class AdminHandler:
    """Handler of the gateway that passes requests to the operator interface."""

    def __init__(self, api: AdminApi) -> None:
        self._api = api

    async def handle(self, request: Request, responder: Responder) -> None:
        """Send the response to an operator's request, at once or as a stream."""
        answer = await self._api.handle(
            AdminRequest(
                method=request.method,
                path=request.path,
                query=dict(parse_qsl(request.query, keep_blank_values=True)),
                headers=request.headers,
                body=request.body,
            )
        )
        if answer.stream is None:
            complete = Answer(answer.status, answer.headers, answer.body)
            await responder.send_answer(complete)
            return
        await responder.start_stream(answer.status, answer.headers)
        stream = answer.stream
        try:
            async for chunk in stream:
                await responder.send_chunk(chunk)
        finally:
            if isinstance(stream, AsyncGenerator):
                with contextlib.suppress(RuntimeError):
                    await stream.aclose()
        await responder.end_stream()
