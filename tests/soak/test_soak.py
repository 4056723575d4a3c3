"""Test that plays one short run of the soak."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from tests.soak.bed import Options, play
from tests.soak.judges import judge
from tests.soak.records import End

# Each instance starts slowly when it is started for the second time; two of the starts
# get a signal.
SEED = 513
SECONDS = 12.0
FEWEST_ANSWERS = 30


class SoakTest(unittest.TestCase):
    """Instances as processes beside planned work."""

    # Requests lost, run twice or mixed up beside stops, reloads and changes.
    def test_keeps_the_rules_beside_planned_work(self):
        with tempfile.TemporaryDirectory() as name:
            record = asyncio.run(play(Options(SEED, SECONDS, Path(name))))
        self.assertEqual([str(finding) for finding in judge(record)], [])
        served = [
            sent
            for sent in record.sent
            if sent.end is End.ANSWERED and sent.status == 200
        ]
        self.assertGreater(len(served), FEWEST_ANSWERS)
        self.assertGreater(len(record.terminations), 0)
        slow = [start for start in record.starts if start.delay_seconds > 0.0]
        self.assertGreater(len(slow), 0)


if __name__ == "__main__":
    unittest.main()
