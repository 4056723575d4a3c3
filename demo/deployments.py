"""The two deployments of the design page: their parts and declared resources."""

import hashlib
from dataclasses import dataclass
from typing import Any

__all__ = [
    "DEPLOYMENT_S",
    "DEPLOYMENT_V",
    "Declaration",
    "Deployment",
    "Pool",
    "declare_resources",
    "team_key",
]


@dataclass(frozen=True, slots=True)
class Pool:
    """Name a model or a service and count its servers."""

    name: str
    servers: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe a deployment; booking and stock share the service servers."""

    name: str
    title: str
    model: Pool
    bookings: Pool
    stock: str
    long_kind: str
    quick_kind: str
    short_kind: str
    instances: int = 6
    data_centres: int = 3
    teams: int = 10
    large_teams: int = 3
    engine_slots: int = 32
    engine_cold_slots: int = 8
    service_slots: int = 32

    @property
    def bookings_path(self) -> str:
        """Return the path prefix of the bookings."""
        return f"/{self.bookings.name}"

    @property
    def stock_path(self) -> str:
        """Return the path prefix of the stock look-up."""
        return f"/{self.stock}"

    def data_centre(self, index: int) -> str:
        """Return the data centre of the server or instance with this index."""
        return f"dc-{index % self.data_centres + 1}"

    def team(self, index: int) -> str:
        """Return the name of a team."""
        return f"team-{self.name}-{index + 1}"


DEPLOYMENT_V = Deployment(
    name="v",
    title="V (Valdivieso, carpet remnants)",
    model=Pool("quotes", 10),
    bookings=Pool("reservations", 3),
    stock="remnants",
    long_kind="quote drafts",
    quick_kind="quick chats",
    short_kind="colour-lot matches",
)
DEPLOYMENT_S = Deployment(
    name="s",
    title="S (Scorrevoli, wardrobe door kits)",
    model=Pool("fitting", 5),
    bookings=Pool("cutting-slots", 3),
    stock="panels",
    long_kind="fitting plans",
    quick_kind="quick questions",
    short_kind="photo tags",
)

VERSION = "v1"


@dataclass(frozen=True, slots=True)
class Declaration:
    """Carry one resource as it is put to the operator interface."""

    kind: str
    name: str
    spec: dict[str, Any]


def team_key(team: str) -> str:
    """Return the credential of a team."""
    return f"key-of-{team}"


def declare_resources(
    deployment: Deployment, engines: list[str], services: list[str]
) -> list[list[Declaration]]:
    """Return the resources in groups; a group refers only to earlier ones."""
    return [
        _declare_data_centres(deployment),
        _declare_pools(deployment),
        _declare_targets(deployment, engines, services),
        _declare_teams(deployment),
    ]


def _declare_data_centres(deployment: Deployment) -> list[Declaration]:
    return [
        Declaration("data-centre", deployment.data_centre(index), {"region": "north"})
        for index in range(deployment.data_centres)
    ]


def _declare_pools(deployment: Deployment) -> list[Declaration]:
    booking_path = deployment.bookings_path
    booking = {
        "path_prefix": booking_path,
        "repeatable": False,
        "lookup_path": f"{booking_path}/{{key}}",
    }
    stock = {"path_prefix": deployment.stock_path, "repeatable": True}
    model = {"versions": [VERSION], "shares": {VERSION: 1.0}}
    return [
        Declaration("model", deployment.model.name, model),
        Declaration("service", deployment.bookings.name, booking),
        Declaration("service", deployment.stock, stock),
    ]


def _declare_targets(
    deployment: Deployment, engines: list[str], services: list[str]
) -> list[Declaration]:
    declarations = []
    for index, address in enumerate(engines):
        spec = _describe_target(deployment, deployment.model.name, index, address)
        spec["slots"] = deployment.engine_slots
        spec["cold_slots"] = deployment.engine_cold_slots
        spec["checks_fencing"] = True
        declarations.append(Declaration("target", f"engine-{index + 1}", spec))
    for pool in (deployment.bookings.name, deployment.stock):
        for index, address in enumerate(services):
            spec = _describe_target(deployment, pool, index, address)
            spec["slots"] = spec["cold_slots"] = deployment.service_slots
            declarations.append(Declaration("target", f"{pool}-{index + 1}", spec))
    return declarations


def _describe_target(
    deployment: Deployment, pool: str, index: int, address: str
) -> dict[str, Any]:
    return {
        "pool": pool,
        "version": VERSION,
        "data_centre": deployment.data_centre(index),
        "address": address,
    }


def _declare_teams(deployment: Deployment) -> list[Declaration]:
    declarations = []
    for index in range(deployment.teams):
        team = deployment.team(index)
        digest = hashlib.sha256(team_key(team).encode()).hexdigest()
        spec = {
            "weight": 4.0 if index < deployment.large_teams else 1.0,
            "credentials": [digest],
            "models": [deployment.model.name],
            "services": [deployment.bookings.name, deployment.stock],
        }
        declarations.append(Declaration("team", team, spec))
    return declarations
