"""Tests of the bound on the bytes that peers make the process keep."""

import unittest

from carobladder.memory import MemoryBudget

_LIMIT = 1000


class MemoryBudgetTest(unittest.TestCase):
    """Guard against peers that together make the process keep too much."""

    def setUp(self) -> None:
        self.budget = MemoryBudget(_LIMIT)

    def grow(self, held: int, step: int) -> int:
        """Reserve in steps until one is refused; return what the holder has."""
        while self.budget.reserve(step, held):
            held += step
        return held

    # Guards against a bound that a single holder passes.
    def test_one_holder_gets_half(self) -> None:
        self.assertEqual(self.grow(0, 10), _LIMIT // 2)
        self.assertEqual(self.budget.used_bytes, _LIMIT // 2)

    # Guards against a bound that many holders pass together.
    def test_many_holders_stay_below_the_limit(self) -> None:
        for _ in range(500):
            self.grow(0, 1)
        self.assertLessEqual(self.budget.used_bytes, _LIMIT)

    # Guards against large holders that take the room of one with a small need.
    def test_small_need_is_met_beside_large_holders(self) -> None:
        held = [0] * 9
        for _ in range(_LIMIT):
            for index, size in enumerate(held):
                held[index] += self.budget.reserve(1, size)
        self.assertEqual(held, [_LIMIT // 10] * 9)
        self.assertTrue(self.budget.reserve(50))
        self.assertFalse(self.budget.reserve(1, held[0]))

    # Guards against a refused reservation that is counted.
    def test_refused_bytes_are_not_counted(self) -> None:
        self.assertFalse(self.budget.reserve(_LIMIT))
        self.assertEqual(self.budget.used_bytes, 0)

    # Guards against room that is lost although it was given back.
    def test_released_bytes_are_free_again(self) -> None:
        self.assertTrue(self.budget.reserve(400))
        self.budget.release(400)
        self.assertEqual(self.budget.free_bytes, _LIMIT)
        self.assertTrue(self.budget.reserve(400))

    # Guards against a reservation that is returned twice and widens the bound.
    def test_release_of_more_than_is_reserved_is_an_error(self) -> None:
        self.assertTrue(self.budget.reserve(10))
        with self.assertRaises(ValueError):
            self.budget.release(11)
