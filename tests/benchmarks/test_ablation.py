"""Tests of the ablations, which name passages of the source."""

import shutil
import tempfile
import unittest
from pathlib import Path

from benchmarks.ablation import Ablation, apply_ablation, load_ablations

ROOT = Path(__file__).resolve().parents[2]


class AblationTest(unittest.TestCase):
    """Guard against an ablation that changes nothing, or another place."""

    def test_each_passage_stands_once_and_its_replacement_compiles(self):
        for name, ablation in load_ablations().items():
            with self.subTest(name=name), tempfile.TemporaryDirectory() as folder:
                copy = Path(folder) / ablation.file
                copy.parent.mkdir(parents=True)
                shutil.copy(ROOT / ablation.file, copy)
                before = copy.read_text(encoding="utf-8")
                apply_ablation(ablation, Path(folder))
                after = copy.read_text(encoding="utf-8")
                self.assertNotEqual(after, before)
                compile(after, ablation.file, "exec")

    def test_passage_that_is_missing_is_refused(self):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "a.py").write_text("x = 1\n")
            with self.assertRaises(ValueError):
                apply_ablation(Ablation("a", "a.py", "y = 1", ""), Path(folder))


if __name__ == "__main__":
    unittest.main()
