"""Random fault schedules for the simulated fleet."""

from collections.abc import Callable
from functools import partial

from tests.peers.simulation import Engine, Fleet

FAULTS_END = 45.0
# The list lag and the time for which a lost peer is kept are at most 8 s each; a
# share moves to another owner after 3 s.
RECOVERY_SECONDS = 25.0


def schedule_faults(fleet: Fleet, count: int) -> None:
    """Schedule random faults from 8 s until FAULTS_END."""
    kinds = [
        pause,
        partition,
        degrade_network,
        restart,
        leave_and_join,
        delay_list,
        restart_cold,
    ]
    for _ in range(count):
        time = fleet.random.uniform(8.0, FAULTS_END - 1)
        kind = fleet.random.choice(kinds)
        fleet.at(time, partial(kind, fleet))


def _choose_duration(fleet: Fleet, longest: float) -> float:
    latest = max(0.1, FAULTS_END - fleet.now)
    return min(fleet.random.uniform(0.05, longest), latest)


def pause(fleet: Fleet) -> None:
    """Pause an instance, often the owner of a target, for up to 6 s."""
    owners = [n for n in fleet.nodes.values() if n.coordinator.list_owned(n.clock())]
    node = fleet.random.choice(owners or list(fleet.nodes.values()))
    if fleet.random.random() < 0.4:
        node = fleet.random.choice(list(fleet.nodes.values()))
    node.paused_until = max(node.paused_until, fleet.now + _choose_duration(fleet, 6.0))


def partition(fleet: Fleet) -> None:
    """Split the instances into two groups that cannot reach each other."""
    groups = {name: fleet.random.randrange(2) for name in fleet.nodes}
    fleet.network.groups = groups
    if fleet.random.random() < 0.3:
        side = [name for name, group in groups.items() if group]
        listed = [name for name, node in fleet.nodes.items() if node.alive]
        fleet.set_listed([name for name in listed if name in side] or listed)
        fleet.after(3.0, lambda: list_alive(fleet))
    fleet.after(_choose_duration(fleet, 15.0), lambda: fleet.network.groups.clear())


def degrade_network(fleet: Fleet) -> None:
    """Lose, duplicate, delay and reorder messages for a while."""
    network = fleet.network
    network.loss = fleet.random.uniform(0, 0.5)
    network.duplicate = fleet.random.uniform(0, 0.5)
    network.slow_share = fleet.random.uniform(0, 0.5)
    network.slow_delay = fleet.random.uniform(0.2, 4.0)
    fleet.write_pause_share = fleet.random.choice((0.0, 0.01))
    fleet.after(_choose_duration(fleet, 8.0), lambda: _restore_network(fleet))


def _restore_network(fleet: Fleet) -> None:
    fleet.network.loss = fleet.network.duplicate = fleet.network.slow_share = 0.0
    fleet.write_pause_share = 0.0


def restart(fleet: Fleet) -> None:
    """Kill an instance and restart it under the same name."""
    name = fleet.random.choice(sorted(fleet.nodes))
    if fleet.nodes[name].alive:
        fleet.kill(name)
        fleet.after(_choose_duration(fleet, 4.0), lambda: fleet.restart(name))


def leave_and_join(fleet: Fleet) -> None:
    """Add an instance, which others may list later; sometimes kill another."""
    name = f"entry-{len(fleet.nodes)}"
    fleet.add_node(name, 1)
    if fleet.random.random() < 0.5:
        alive = [node for node in fleet.nodes.values() if node.alive]
        if len(alive) > 3:
            fleet.kill(fleet.random.choice(alive).name)
    list_alive(fleet)


def delay_list(fleet: Fleet) -> None:
    """Make instances read lists of different ages."""
    for node in fleet.nodes.values():
        node.list_lag = max(node.list_lag, fleet.random.uniform(0, 8.0))


def restart_cold(fleet: Fleet) -> None:
    """Restart an engine without notice."""
    target_id = fleet.random.choice(sorted(fleet.engines))
    fleet.restart_cold(target_id)


def list_alive(fleet: Fleet) -> None:
    """List the instances that are alive."""
    fleet.set_listed([name for name, node in fleet.nodes.items() if node.alive])


def run_schedule(
    seed: int, build: Callable[..., Fleet] = Fleet, faults: int = 12, **options: object
) -> Fleet:
    """Run a fault schedule, then remove all network faults; return the fleet."""
    engines = [Engine("t0", 32, 4, cold=True), Engine("t1", 16, 8, cold=False)]
    fleet = build(seed, engines=engines, **options)
    fleet.generate(40, 0.8, weights=(1, 1, 2))
    schedule_faults(fleet, faults)
    fleet.run_until(FAULTS_END)
    fleet.network.groups.clear()
    _restore_network(fleet)
    return fleet
