"""Conversion of the platform's JSON documents from and to the fleet's types."""

from collections.abc import Iterable
from ipaddress import ip_address
from typing import Annotated, Any

import msgspec

from carobladder.decoding import DECODE_ERRORS, parse_port
from carobladder.fleet.entries import (
    ConfigurationRecord,
    DataCentreRecord,
    OperatorRecord,
    RolloutOrder,
    TargetEntry,
    UnreadableRecord,
)
from carobladder.fleet.records import KeyedRecord
from carobladder.fleet.versions import MoveState, MoveStep
from carobladder.platform.names import (
    CONFIGURATION_KEY,
    EVACUATION_KEY_PREFIX,
    ROLLOUT_KEY_PREFIX,
)
from carobladder.routing import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceScaling,
    ServiceWeight,
    TeamKeys,
)

__all__ = [
    "RouteMemory",
    "decode_operator_record",
    "decode_target_entry",
    "encode_move_status",
    "peek_configuration_version",
]

_MS_PER_SECOND = 1000.0
_ROUTE_KINDS = {kind.value: kind for kind in RouteKind}
_SERVER_STATES = frozenset({"ready", "draining"})
_MOVE_STATE_NAMES = {
    MoveState.RUNNING: "running",
    MoveState.COMPLETED: "completed",
    MoveState.ROLLED_BACK: "rolled_back",
}

# Larger numbers than any target can have; an entry with one is another writer's.
_MAX_SLOTS = 1_000_000
_MAX_COLD_MS = 86_400_000
_MAX_UNIX_MS = 2**53

# For these null names nobody, while the default of the first one lets everybody in.
_FIELDS_WITH_NULL = frozenset({"tenants", "apiKeys"})

Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]


class _Document(msgspec.Struct, rename="camel"):
    pass


class _TrafficSplit(_Document):
    service: NonEmptyText
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class _Route(_Document):
    name: NonEmptyText
    host: NonEmptyText
    path_prefix: NonEmptyText
    kind: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 0.0
    priority: int = 0
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: Milliseconds = 0.0
    service: str = ""
    traffic_split: tuple[_TrafficSplit, ...] = ()


class _Engine(_Document):
    slots: int = 0
    kv_capacity: int = 0


class _Scaling(_Document):
    min_replicas: Annotated[int, msgspec.Meta(ge=0)]
    max_replicas: Annotated[int, msgspec.Meta(ge=0)]
    boot_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Service(_Document):
    name: NonEmptyText
    health_path: str = "/"
    max_connections: int = 0
    cold_per_s: float | None = None
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Tenant(_Document):
    name: NonEmptyText
    api_keys: tuple[str, ...] | None = ()
    priority: int | None = None


class _Limits(_Document):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: Milliseconds = 10_000.0
    idle_timeout_ms: Milliseconds = 75_000.0


class _Configuration(_Document):
    version: int
    # Decoded one by one, and only those that are not known.
    routes: tuple[msgspec.Raw, ...] = ()
    services: tuple[_Service, ...] = ()
    # Without the field no key is needed; null names nobody, as an empty list does.
    tenants: tuple[_Tenant, ...] | msgspec.UnsetType | None = msgspec.UNSET
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _ConfigurationVersion(_Document):
    version: int


class _Rollout(_Document):
    service: NonEmptyText
    # Version that the rollout moves the service to; not a server.
    target: NonEmptyText
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


class _RolloutStatus(_Document):
    state: str
    target: str


class _Server(_Document):
    service: NonEmptyText
    address: NonEmptyText
    zone: NonEmptyText
    version: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
    state: str
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_COLD_MS)]
    # Number of the server's writes, which the platform counts; not a measure of age.
    sequence: int
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_UNIX_MS)] = 0


_route_decoder = msgspec.json.Decoder(_Route)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_version_decoder = msgspec.json.Decoder(_ConfigurationVersion)
_rollout_decoder = msgspec.json.Decoder(_Rollout)
_server_decoder = msgspec.json.Decoder(_Server)


class RouteMemory:
    """Routes of the last configuration by their documents, as most changes keep them.

    ``decoded_count`` is the number of routes that were decoded so far.
    """

    def __init__(self) -> None:
        self.decoded_count = 0
        self._routes: dict[bytes, Route] = {}

    def decode(self, documents: Iterable[msgspec.Raw]) -> tuple[Route, ...]:
        """Decode routes, or find them; raises an error of msgspec for an invalid one.

        Only the routes of these documents are remembered afterwards.
        """
        routes: dict[bytes, Route] = {}
        decoded = []
        for document in map(bytes, documents):
            route = self._routes.get(document)
            if route is None:
                route = _build_route(_route_decoder.decode(document))
                self.decoded_count += 1
            routes[document] = route
            decoded.append(route)
        self._routes = routes
        return tuple(decoded)


def decode_operator_record(
    record: KeyedRecord, memory: RouteMemory | None = None
) -> OperatorRecord:
    """Decode a record of the operator; an invalid one becomes UnreadableRecord."""
    try:
        return _parse_operator_record(record, memory or RouteMemory())
    except (*DECODE_ERRORS, ValueError) as error:
        return UnreadableRecord(record.key, str(error))


def peek_configuration_version(record: KeyedRecord) -> int | None:
    """Return the version of a configuration, None for any other or malformed record.

    The rest of the document is not checked, which takes a tenth of the time.
    """
    if record.key != CONFIGURATION_KEY or record.value is None:
        return None
    try:
        return _version_decoder.decode(record.value).version
    except DECODE_ERRORS:
        return None


def decode_target_entry(key: str, value: bytes) -> TargetEntry | UnreadableRecord:
    """Decode the entry of a target; an invalid one becomes UnreadableRecord."""
    try:
        server = _server_decoder.decode(value)
        _validate_server(server)
    except (*DECODE_ERRORS, ValueError) as error:
        return UnreadableRecord(key, str(error))
    return TargetEntry(
        target_id=key,
        service=server.service,
        address=server.address,
        data_centre=server.zone,
        version=server.version,
        slots=server.slots,
        draining=server.state == "draining",
        cold_seconds=server.cold_remaining_ms / _MS_PER_SECOND,
        started_ms=server.born,
    )


def encode_move_status(step: MoveStep) -> tuple[str, bytes]:
    """Return the key and value of the record that reports a move to operators."""
    status = _RolloutStatus(state=_MOVE_STATE_NAMES[step.state], target=step.version)
    return ROLLOUT_KEY_PREFIX + step.service, msgspec.json.encode(status)


def _parse_operator_record(record: KeyedRecord, memory: RouteMemory) -> OperatorRecord:
    key, value, offset = record.key, record.value, record.offset
    if key.startswith(EVACUATION_KEY_PREFIX):
        data_centre = key.removeprefix(EVACUATION_KEY_PREFIX)
        return DataCentreRecord(data_centre, value is not None)
    if key.startswith(ROLLOUT_KEY_PREFIX):
        if value is None:
            service = key.removeprefix(ROLLOUT_KEY_PREFIX)
            return RolloutOrder(service, "", 0.0, offset, withdrawn=True)
        rollout = _rollout_decoder.decode(value)
        return RolloutOrder(rollout.service, rollout.target, rollout.duration_s, offset)
    if key != CONFIGURATION_KEY or value is None:
        return UnreadableRecord(
            key, "not a known record key, or the configuration was deleted"
        )
    return ConfigurationRecord(_parse_configuration(value, memory))


def _parse_configuration(value: bytes, memory: RouteMemory) -> Configuration:
    """Decode a configuration; null stands for the default of an optional field."""
    try:
        return _build_configuration(_configuration_decoder.decode(value), memory)
    except msgspec.ValidationError:
        document = msgspec.json.decode(value)
        without_nulls = _drop_nulls(document)
        if without_nulls == document:
            raise
        decoded = _configuration_decoder.decode(msgspec.json.encode(without_nulls))
        return _build_configuration(decoded, memory)


def _drop_nulls(value: Any) -> Any:
    """Return a JSON value without its null fields, unless null has a meaning there."""
    if isinstance(value, list):
        return [_drop_nulls(item) for item in value]
    if not isinstance(value, dict):
        return value
    return {
        name: _drop_nulls(field)
        for name, field in value.items()
        if field is not None or name in _FIELDS_WITH_NULL
    }


def _validate_server(server: _Server) -> None:
    if server.state not in _SERVER_STATES:
        raise ValueError(f"unknown server state {server.state!r}")
    host, _, port = server.address.rpartition(":")
    if parse_port(port) is None:
        raise ValueError(f"address {server.address!r} is not of the form IP:PORT")
    # Raises ValueError; a host name would be looked up at each connection.
    ip_address(host.removeprefix("[").removesuffix("]"))


def _build_configuration(
    document: _Configuration, memory: RouteMemory
) -> Configuration:
    limits = document.limits
    return Configuration(
        version=document.version,
        routes=memory.decode(document.routes),
        services=tuple(_build_service(service) for service in document.services),
        teams=_build_teams(document.tenants),
        limits=CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_seconds=limits.header_timeout_ms / _MS_PER_SECOND,
            idle_seconds=limits.idle_timeout_ms / _MS_PER_SECOND,
        ),
    )


def _build_teams(
    tenants: tuple[_Tenant, ...] | msgspec.UnsetType | None,
) -> tuple[TeamKeys, ...] | None:
    """Return the teams, or None if the configuration does not name any."""
    if tenants is msgspec.UNSET:
        return None
    return tuple(
        TeamKeys(tenant.name, tenant.api_keys or (), tenant.priority)
        for tenant in tenants or ()
    )


def _build_route(route: _Route) -> Route:
    services = tuple(ServiceWeight(s.service, s.weight) for s in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        # It is not known whether requests of an unknown kind may be repeated.
        kind=_ROUTE_KINDS.get(route.kind, RouteKind.UNSAFE),
        services=services or (ServiceWeight(route.service),),
        timeout_seconds=route.timeout_ms / _MS_PER_SECOND,
        latency_objective_seconds=route.target_latency_ms / _MS_PER_SECOND,
        priority=route.priority,
        attempts=route.attempts,
        public=route.public,
        resumable=route.resumable,
        max_event_gap_seconds=route.target_gap_ms / _MS_PER_SECOND,
    )


def _build_service(service: _Service) -> Service:
    engine = service.engine or _Engine()
    return Service(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_connections,
        cold_per_second=service.cold_per_s,
        batch_slots=engine.slots,
        kv_cache_tokens=engine.kv_capacity,
        scaling=_build_scaling(service.scaling) if service.scaling else None,
    )


def _build_scaling(scaling: _Scaling) -> ServiceScaling:
    low, high = scaling.min_replicas, scaling.max_replicas
    return ServiceScaling(low, max(low, high), scaling.boot_s)
