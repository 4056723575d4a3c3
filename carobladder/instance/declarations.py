"""Conversion of configured targets into the declarations used by the limits."""

from collections.abc import Iterable
from dataclasses import replace

from carobladder.limits.declarations import TargetDeclaration
from carobladder.resources import Catalog, ConfiguredDirectory, TargetSpec

__all__ = ["declare_targets"]


def declare_targets(
    catalog: Catalog, directory: ConfiguredDirectory, listed_leaving: Iterable[str]
) -> list[TargetDeclaration]:
    """Return the declared targets; those in ``listed_leaving`` get no new requests."""
    leaving = frozenset(listed_leaving)
    pools = {resource.name for resource in catalog.list_kind("model")}
    cold_slots = {
        resource.name: resource.spec.cold_slots
        for resource in catalog.list_kind("target")
        if isinstance(resource.spec, TargetSpec)
    }
    declarations = []
    for pool in _list_pools(catalog):
        for state in directory.list_targets(pool):
            if state.target_id in leaving:
                state = replace(state, leaving=True)
            declarations.append(
                TargetDeclaration(
                    state=state,
                    cold_slots=cold_slots[state.target_id],
                    balanced=pool in pools,
                )
            )
    return declarations


def _list_pools(catalog: Catalog) -> list[str]:
    return [
        resource.name
        for kind in ("model", "service")
        for resource in catalog.list_kind(kind)
    ]
