"""Orders to fetch or load a version, or to change adapter or role."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from standins.engine.options import EngineOptions
from standins.http import Request, RequestError

__all__ = ["Fence", "Order", "parse_order"]


class Order(BaseModel):
    """Order a change; ``version`` names the version, adapter or role."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    fencing: int = Field(ge=0)
    action: Literal["prefetch", "load", "unload", "load-adapter", "set-role"]
    version: str


def parse_order(request: Request) -> Order:
    """Return the validated order; raises RequestError with status 400."""
    try:
        return Order.model_validate(request.json())
    except ValidationError as error:
        raise RequestError(400, f"invalid order: {error}") from None


class Fence:
    """Remember the greatest fencing number and reject older ones if told to."""

    def __init__(self, options: EngineOptions) -> None:
        self._checks = options.checks_fencing
        self.greatest = -1

    def check(self, order: Order) -> None:
        """Raise RequestError with status 409 for an old number."""
        if self._checks and order.fencing < self.greatest:
            message = f"fencing number is older than {self.greatest}"
            raise RequestError(409, message, fencing=self.greatest)
        self.greatest = max(self.greatest, order.fencing)
