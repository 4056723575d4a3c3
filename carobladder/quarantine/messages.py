"""Messages in which instances share evidence of parts that crash targets."""

import msgspec

__all__ = ["CrashReport", "HoldReport", "QuarantineNews", "SoundReport"]


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """Run of a target that ended ``age_ms`` ago, and the parts of its requests.

    ``begun`` are the parts of requests whose answer had begun and had sent no event,
    ``others`` those of requests without a byte of an answer and of streams that had
    sent events for a short time only.
    """

    crash_id: int
    age_ms: int
    begun: list[int]
    others: list[int]


class SoundReport(msgspec.Struct, array_like=True, frozen=True):
    """Part with which a target has served a whole answer, ``age_ms`` ago."""

    part: int
    age_ms: int


class HoldReport(msgspec.Struct, array_like=True, frozen=True):
    """Part in quarantine, for the ``level``-th time in a row.

    ``age_ms`` is the age of the newest evidence against it, and ``left_ms`` the time
    until it may be tried, which is negative once it may.
    """

    part: int
    level: int
    age_ms: int
    left_ms: int


class QuarantineNews(msgspec.Struct, array_like=True, frozen=True, tag="quarantine"):
    """What an instance has learned since its last message of this kind."""

    crashes: list[CrashReport]
    sound: list[SoundReport]
    holds: list[HoldReport]
