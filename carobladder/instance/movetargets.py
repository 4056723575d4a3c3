"""State of targets for drivers: declarations combined with load reports."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from datetime import UTC, datetime

from returns.result import Success

from carobladder.clients.engines import EngineClient, LoadReport
from carobladder.moves.switches import TargetView
from carobladder.resources import Catalog, Resource, TargetSpec

__all__ = ["DRIVER_PREFIX", "TargetReader"]

# Prefix of the author of changes that are made by drivers.
DRIVER_PREFIX = "driver:"
_PROBE_TIMEOUT_SECONDS = 1.0
_MAX_CACHED_CHANGES = 20_000


class TargetReader:
    """Reader that combines the declarations of targets with their load reports.

    ``find_load`` returns the weighted load of a target in slots.
    """

    def __init__(
        self,
        catalog: Catalog,
        engines: EngineClient,
        find_load: Callable[[str], int],
    ) -> None:
        self._catalog = catalog
        self._engines = engines
        self._find_load = find_load
        self._driver_changes: dict[int, datetime | None] = {}

    def list_pool(self, pool: str) -> list[Resource]:
        """Return the declared targets of a pool."""
        return [r for r, spec in self._list_all() if spec.pool == pool]

    def list_data_centre(self, data_centre: str) -> list[Resource]:
        """Return the declared targets in a data centre."""
        return [r for r, spec in self._list_all() if spec.data_centre == data_centre]

    def list_all(self) -> list[Resource]:
        """Return all declared targets."""
        return [resource for resource, _ in self._list_all()]

    async def read_views(self, targets: Sequence[Resource]) -> list[TargetView]:
        """Return views of the targets with their current load reports."""
        reports = await asyncio.gather(
            *(self._read_report(target) for target in targets)
        )
        return [
            self.make_view(target, report)
            for target, report in zip(targets, reports, strict=True)
        ]

    def make_view(self, target: Resource, report: LoadReport | None) -> TargetView:
        """Return the view of a target; ``report`` is None if it is unavailable."""
        spec = target.spec
        assert isinstance(spec, TargetSpec)
        changed_at = self._find_driver_change(target.revision)
        view = TargetView(
            target_id=target.name,
            version=spec.version,
            pool=spec.pool,
            leaving=spec.leaving,
            by_driver=changed_at is not None,
            revision=target.revision,
            changed_at=changed_at,
            load=self._find_load(target.name),
        )
        if report is None:
            return view
        admissible = spec.slots if report.bearable is None else report.bearable
        return replace(
            view,
            reported_version=report.version,
            ready=report.ready,
            in_flight=report.running + report.waiting,
            bearable=min(admissible, spec.slots),
        )

    async def _read_report(self, target: Resource) -> LoadReport | None:
        spec = target.spec
        assert isinstance(spec, TargetSpec)
        result = await self._engines.read_load(spec.address, _PROBE_TIMEOUT_SECONDS)
        return result.unwrap() if isinstance(result, Success) else None

    def _find_driver_change(self, revision: int) -> datetime | None:
        """Return when a driver made the change of a revision, or None if none did.

        A change that is no longer in the audit log counts as an operator's.
        """
        if revision not in self._driver_changes:
            if len(self._driver_changes) > _MAX_CACHED_CHANGES:
                self._driver_changes.clear()
            self._driver_changes[revision] = self._search_audit(revision)
        return self._driver_changes[revision]

    def _search_audit(self, revision: int) -> datetime | None:
        for entry in reversed(self._catalog.list_audit()):
            if entry.offset == revision and entry.who.startswith(DRIVER_PREFIX):
                return datetime.fromtimestamp(entry.at, UTC)
            if entry.offset <= revision:
                return None
        return None

    def _list_all(self) -> Iterable[tuple[Resource, TargetSpec]]:
        for resource in self._catalog.list_kind("target"):
            if isinstance(resource.spec, TargetSpec):
                yield resource, resource.spec
