"""Client of the platform's API for usage reports and numbers of servers."""

from collections.abc import Mapping
from http import HTTPStatus

import msgspec

from carobladder.clients.http import HttpClient
from carobladder.duties.calls import CallOutcome, CallPermit
from carobladder.exceptions import RequestWithheldError, TargetError
from carobladder.platform.names import DUTY_HOLDER_HEADER, FENCING_TOKEN_HEADER

__all__ = ["CloudApi"]

_USAGE_PATH = "/usage"
_SCALE_PATH = "/scale"
_OUTCOMES: dict[int, CallOutcome] = {
    HTTPStatus.OK: CallOutcome.ACCEPTED,
    HTTPStatus.CONFLICT: CallOutcome.OUTDATED_TOKEN,
    HTTPStatus.TOO_MANY_REQUESTS: CallOutcome.LIMITED,
}


class _Document(msgspec.Struct, rename="camel"):
    pass


class _Usage(_Document):
    window_id: int
    counts: dict[str, int]


class _Scale(_Document):
    service: str
    zone: str
    desired_count: int


class CloudApi:
    """HTTP client of the API at an address of the form IP:PORT; see ``DutyApi``."""

    def __init__(
        self, client: HttpClient, address: str, timeout_seconds: float
    ) -> None:
        self._client = client
        self._address = address
        self._timeout_seconds = timeout_seconds

    async def report_usage(
        self, permit: CallPermit, window: int, counts: Mapping[str, int]
    ) -> CallOutcome:
        """Report the counts of a window by team."""
        return await self._call(permit, _USAGE_PATH, _Usage(window, dict(counts)))

    async def order_targets(
        self, permit: CallPermit, service: str, data_centre: str, count: int
    ) -> CallOutcome:
        """Order the number of targets of a service in a data centre."""
        return await self._call(
            permit, _SCALE_PATH, _Scale(service, data_centre, count)
        )

    async def _call(
        self, permit: CallPermit, path: str, document: _Document
    ) -> CallOutcome:
        headers = (
            ("Content-Type", "application/json"),
            (DUTY_HOLDER_HEADER, permit.holder),
            (FENCING_TOKEN_HEADER, str(permit.token)),
        )
        try:
            # A kept connection that proves stale would leave the outcome unknown.
            stream = await self._client.open(
                "POST",
                self._address,
                path,
                headers=headers,
                body=msgspec.json.encode(document),
                timeout_seconds=self._timeout_seconds,
                may_repeat=False,
                fresh=True,
                confirm=permit.confirm,
            )
            async with stream:
                await stream.read_all(self._timeout_seconds)
        except RequestWithheldError:
            return CallOutcome.NOT_SENT
        except TargetError as error:
            written = error.request_written
            return CallOutcome.UNANSWERED if written else CallOutcome.NOT_SENT
        return _read_outcome(stream.status)


def _read_outcome(status: int) -> CallOutcome:
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return CallOutcome.UNANSWERED
    return _OUTCOMES.get(status, CallOutcome.REFUSED)
