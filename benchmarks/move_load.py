"""Steady traffic on a fleet of processes, with a record of every answer."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from demo.callers import Balancer, Caller, ChatCall, _Answer
from demo.deployments import Deployment
from demo.tally import KindTally, RunTally

__all__ = ["Sample", "SteadyLoad"]

# First-token target of the design page, section 1.6.
_SERVICE_SECONDS = 0.72
_WORDS = ("wool", "oak", "glass", "rail", "grey", "beige", "loop", "hinge", "pile")
_CATALOGUE_WORDS = 300
_VERSIONS = frozenset({"v1", "v2", "v3"})


@dataclass(frozen=True, slots=True)
class Sample:
    """Describe one whole answer; times are in monotonic seconds."""

    sent_at: float
    first_token_seconds: float
    version: str
    prompt_tokens: int
    cached_tokens: int


@dataclass(slots=True)
class _Record:
    samples: list[Sample] = field(default_factory=list)
    sent: list[float] = field(default_factory=list)


class _RecordingCaller(Caller):
    """Keep a sample of each answer besides the usual counts."""

    def __init__(self, balancer: Balancer, tally: RunTally, record: _Record) -> None:
        super().__init__(balancer, tally, _VERSIONS)
        self._record = record

    async def complete(self, call: ChatCall) -> str:
        """Return the text of a whole answer, or the empty text after giving up."""
        self._record.sent.append(time.monotonic())
        return await super().complete(call)

    def _accept(self, call: ChatCall, tally: KindTally, answer: _Answer) -> str:
        seconds = tally.first_token_seconds[-1]
        details = answer.usage.get("prompt_tokens_details") or {}
        self._record.samples.append(
            Sample(
                answer.first_token_at - seconds,
                seconds,
                answer.version,
                answer.usage.get("prompt_tokens", 0),
                details.get("cached_tokens", 0),
            )
        )
        return super()._accept(call, tally, answer)


class SteadyLoad:
    """Start sessions of two requests at a steady rate until stopped."""

    def __init__(
        self,
        deployment: Deployment,
        addresses: list[str],
        sessions_per_second: float,
        seed: int = 1,
    ) -> None:
        self.tally = RunTally()
        self._record = _Record()
        self._deployment = deployment
        self._rate = sessions_per_second
        self._random = random.Random(seed)
        balancer = Balancer(addresses, seed)
        self._caller = _RecordingCaller(balancer, self.tally, self._record)
        self._stopped = asyncio.Event()
        self._number = 0

    def stop(self) -> None:
        """Start no further sessions."""
        self._stopped.set()

    async def run(self) -> None:
        """Run sessions; return when those that have begun have ended."""
        async with asyncio.TaskGroup() as group:
            while not self._stopped.is_set():
                self._number += 1
                group.create_task(self._run_session(self._number))
                await asyncio.sleep(self._random.expovariate(self._rate))

    def count_requests(self, start: float, end: float) -> int:
        """Return the requests sent in a period."""
        return sum(start <= at < end for at in self._record.sent)

    def list_samples(self, start: float, end: float) -> list[Sample]:
        """Return the whole answers to requests sent in a period."""
        return [s for s in self._record.samples if start <= s.sent_at < end]

    def reuse(self, start: float, end: float) -> float:
        """Return the share of prompt tokens that came from a cache."""
        samples = self.list_samples(start, end)
        prompt = sum(sample.prompt_tokens for sample in samples)
        return sum(sample.cached_tokens for sample in samples) / max(1, prompt)

    def service_share(self, start: float, end: float) -> float:
        """Return the share of requests with a first token in time."""
        samples = self.list_samples(start, end)
        sent = self.count_requests(start, end)
        timely = sum(s.first_token_seconds <= _SERVICE_SECONDS for s in samples)
        return timely / max(1, sent)

    async def _run_session(self, number: int) -> None:
        call = self._build(number)
        for turn in range(2):
            if turn:
                await asyncio.sleep(self._random.uniform(0.2, 1.0))
            text = await self._caller.complete(call)
            if not text:
                return
            answer = {"role": "assistant", "content": text}
            follow_up = {"role": "user", "content": f"and turn {turn} of {number}"}
            call.messages = [*call.messages, answer, follow_up]

    def _build(self, number: int) -> ChatCall:
        deployment = self._deployment
        team = deployment.team(self._random.randrange(deployment.teams))
        drawn = self._random.random()
        messages = [{"role": "user", "content": f"question {number} of {team}"}]
        kind, request_class, tokens = deployment.quick_kind, "quick", 12
        if drawn < 0.2:
            kind, request_class, tokens = deployment.long_kind, "long", 48
            catalogue = {"role": "system", "content": _write_catalogue(team)}
            messages.insert(0, catalogue)
        elif drawn < 0.4:
            kind, request_class, tokens = deployment.short_kind, "short", 2
        return ChatCall(
            kind=kind,
            request_class=request_class,
            team=team,
            model=deployment.model.name,
            messages=messages,
            max_tokens=tokens,
            stream=request_class != "short",
            chat_id=f"{request_class}-{number}",
        )


def _write_catalogue(team: str) -> str:
    source = random.Random(team)
    return " ".join(
        f"{source.choice(_WORDS)}{source.randrange(1000)}"
        for _ in range(_CATALOGUE_WORDS)
    )
