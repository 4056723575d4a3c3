"""What a driver sees of targets, and the orders that it gives them."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from datetime import UTC, datetime

from returns.result import Success

from carobladder.clients.engines import EngineClient, LoadReport
from carobladder.moves.switches import TargetView
from carobladder.resources import Catalog, Resource, TargetSpec

__all__ = ["DRIVER_PREFIX", "TargetSurvey"]

# Marks the changes that drivers make themselves.
DRIVER_PREFIX = "driver:"
_PROBE_SECONDS = 1.0
_REMEMBERED_CHANGES = 20_000


class TargetSurvey:
    """Read the load of targets and join it with their declarations.

    ``find_load`` returns the weighted load of a target, in slots.
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

    async def view(self, targets: Sequence[Resource]) -> list[TargetView]:
        """Return the targets with what they report now."""
        reports = await asyncio.gather(*(self._read(target) for target in targets))
        return [
            self.join(target, report)
            for target, report in zip(targets, reports, strict=True)
        ]

    def join(self, target: Resource, report: LoadReport | None) -> TargetView:
        """Return a target with a report, or without one."""
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
        bearable = spec.slots if report.bearable is None else report.bearable
        return replace(
            view,
            reported_version=report.version,
            ready=report.ready,
            in_flight=report.running + report.waiting,
            bearable=min(bearable, spec.slots),
        )

    async def _read(self, target: Resource) -> LoadReport | None:
        spec = target.spec
        assert isinstance(spec, TargetSpec)
        result = await self._engines.read_load(spec.address, _PROBE_SECONDS)
        return result.unwrap() if isinstance(result, Success) else None

    def _find_driver_change(self, revision: int) -> datetime | None:
        """Return when a driver made the change of a revision; None if none did.

        A change that is no longer among the audited ones counts as an operator's.
        """
        if revision not in self._driver_changes:
            if len(self._driver_changes) > _REMEMBERED_CHANGES:
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
