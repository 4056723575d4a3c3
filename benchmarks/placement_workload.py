"""Workload of the placement benchmark: chats that return, of several teams."""

import math
from dataclasses import dataclass
from random import Random

from carobladder.targets import RequestClass

__all__ = ["DEPLOYMENTS", "Chat", "ClassShape", "Deployment", "Turn", "generate_chats"]

TEAM_WEIGHTS = (0.25, 0.2, 0.15, 0.1, 0.08, 0.06, 0.06, 0.04, 0.03, 0.03)
PAUSE_MEDIAN_SECONDS = 120.0
PAUSE_SIGMA = 0.8
LONG_PAUSE_SHARE = 0.12
LONG_PAUSE_SECONDS = (3600.0, 6 * 3600.0)
DAY_SECONDS = 86_400.0


@dataclass(frozen=True, slots=True)
class ClassShape:
    """Describe the chats of one request class; ranges are in tokens."""

    share: float
    prefix: tuple[int, int]
    first: tuple[int, int]
    follow: tuple[int, int]
    answer: tuple[int, int]
    turns_mean: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe the engines and the traffic of one deployment."""

    name: str
    engines: int
    slots: int
    cache_tokens: int
    instances: int
    chats_per_second: float
    shapes: dict[RequestClass, ClassShape]


DEPLOYMENTS = (
    Deployment(
        "V",
        10,
        32,
        400_000,
        9,
        1.4,
        {
            RequestClass.LONG: ClassShape(
                0.3, (16_000, 40_000), (500, 6000), (100, 800), (300, 1000), 4.0
            ),
            RequestClass.QUICK: ClassShape(
                0.4, (800, 2000), (50, 300), (30, 200), (80, 300), 3.0
            ),
            RequestClass.SHORT: ClassShape(
                0.3, (300, 600), (60, 150), (60, 150), (2, 8), 1.0
            ),
        },
    ),
    Deployment(
        "S",
        5,
        32,
        400_000,
        6,
        0.7,
        {
            RequestClass.LONG: ClassShape(
                0.3, (8000, 20_000), (500, 4000), (100, 800), (300, 1000), 4.0
            ),
            RequestClass.QUICK: ClassShape(
                0.5, (800, 2000), (50, 300), (30, 200), (80, 300), 3.0
            ),
            RequestClass.SHORT: ClassShape(
                0.2, (300, 600), (400, 1200), (400, 1200), (2, 20), 1.0
            ),
        },
    ),
)


@dataclass(frozen=True, slots=True)
class Turn:
    """Give one request of a chat; ``own_tokens`` is the whole own part."""

    pause_seconds: float
    own_tokens: int
    answer_tokens: int


@dataclass(frozen=True, slots=True)
class Chat:
    """Give one chat and its requests."""

    number: int
    team: int
    request_class: RequestClass
    prefix_key: int
    prefix_tokens: int
    start: float
    turns: tuple[Turn, ...]


def generate_chats(deployment: Deployment, seed: int, hours: float) -> list[Chat]:
    """Return the chats of the run in order of their start."""
    random = Random(f"chats-{deployment.name}-{seed}")
    peak = deployment.chats_per_second * 1.5
    catalogues = _Catalogues(deployment, random)
    chats: list[Chat] = []
    now = 0.0
    while True:
        now += random.expovariate(peak)
        if now >= hours * 3600:
            return chats
        # The rate falls to a third of the peak at night.
        day_factor = 2 / 3 + math.sin(2 * math.pi * now / DAY_SECONDS) / 3
        if random.random() < day_factor:
            chats.append(
                _generate_chat(len(chats), now, deployment, catalogues, random)
            )


class _Catalogues:
    """Choose the shared prefix of a chat; one edition replaces another each day."""

    def __init__(self, deployment: Deployment, random: Random) -> None:
        self._known: dict[tuple[int, RequestClass, int], tuple[int, int, float]] = {}
        for team, weight in enumerate(TEAM_WEIGHTS):
            for request_class, shape in deployment.shapes.items():
                count = (
                    3 if weight >= 0.15 and request_class is RequestClass.LONG else 1
                )
                for number in range(count):
                    self._known[team, request_class, number] = (
                        random.getrandbits(62),
                        random.randint(*shape.prefix),
                        random.uniform(0, DAY_SECONDS),
                    )
        self._counts = {
            key[:2]: sum(1 for other in self._known if other[:2] == key[:2])
            for key in self._known
        }

    def choose(
        self, team: int, request_class: RequestClass, now: float, random: Random
    ) -> tuple[int, int]:
        number = random.randrange(self._counts[team, request_class])
        key, tokens, changed_at = self._known[team, request_class, number]
        return key + (now >= changed_at), tokens


def _generate_chat(
    number: int,
    now: float,
    deployment: Deployment,
    catalogues: _Catalogues,
    random: Random,
) -> Chat:
    team = random.choices(range(len(TEAM_WEIGHTS)), TEAM_WEIGHTS)[0]
    classes = list(deployment.shapes)
    shares = [deployment.shapes[name].share for name in classes]
    request_class = random.choices(classes, shares)[0]
    shape = deployment.shapes[request_class]
    key, tokens = catalogues.choose(team, request_class, now, random)
    turns = _generate_turns(shape, random)
    return Chat(number, team, request_class, key, tokens, now, turns)


def _generate_turns(shape: ClassShape, random: Random) -> tuple[Turn, ...]:
    own = random.randint(*shape.first)
    answer = random.randint(*shape.answer)
    turns = [Turn(0.0, own, answer)]
    while random.random() < 1 - 1 / shape.turns_mean:
        own += answer + random.randint(*shape.follow)
        answer = random.randint(*shape.answer)
        turns.append(Turn(_draw_pause(random), own, answer))
    return tuple(turns)


def _draw_pause(random: Random) -> float:
    if random.random() < LONG_PAUSE_SHARE:
        return random.uniform(*LONG_PAUSE_SECONDS)
    return random.lognormvariate(math.log(PAUSE_MEDIAN_SECONDS), PAUSE_SIGMA)
