"""Quarantine of prompt parts that crash the targets that answer them."""

from carobladder.quarantine.evidence import Crash, CrashEvidence
from carobladder.quarantine.holds import Hold, HoldTable
from carobladder.quarantine.messages import (
    CrashReport,
    HoldReport,
    QuarantineNews,
    SoundReport,
)
from carobladder.quarantine.registry import (
    PartQuarantine,
    QuarantineDecision,
    compute_part_tags,
)

__all__ = [
    "Crash",
    "CrashEvidence",
    "CrashReport",
    "Hold",
    "HoldReport",
    "HoldTable",
    "PartQuarantine",
    "QuarantineDecision",
    "QuarantineNews",
    "SoundReport",
    "compute_part_tags",
]
