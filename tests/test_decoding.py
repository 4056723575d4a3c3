"""Tests of decoding what other writers have left."""

import unittest

from carobladder.decoding import parse_port


class PortTest(unittest.TestCase):
    """Guard against ports that no socket accepts."""

    def test_only_ports_of_ascii_digits_in_range_are_parsed(self):
        self.assertEqual([parse_port(t) for t in ("1", "080", "65535")], [1, 80, 65535])
        for text in ("", "0", "65536", "-1", "+1", " 1", "1.0", "\u0661", "9" * 5000):
            self.assertIsNone(parse_port(text), text[:9])


if __name__ == "__main__":
    unittest.main()
