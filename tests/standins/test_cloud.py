"""Tests of the stand-in of the platform's API."""

import json
import unittest

from standins.cloud import CloudState


class CloudStateTest(unittest.TestCase):
    """Guard against a stand-in that accepts what the platform refuses."""

    def setUp(self):
        self.now = 0.0
        self.state = CloudState(lambda: self.now, calls_per_second=3)

    def call(self, holder, token, path="/usage", **document):
        self.now += 1.0
        headers = {
            "carobladder-duty-holder": holder,
            "carobladder-fencing-token": str(token),
        }
        body = json.dumps(document).encode()
        return self.state.call("POST", path, headers, body).status

    def test_lower_token_is_refused_for_its_subject_only(self):
        self.assertEqual(self.call("a", 2, windowId=1, counts={"x": 1}), 200)
        self.assertEqual(self.call("b", 1, windowId=2, counts={}), 409)
        order = {"service": "s", "zone": "z", "desiredCount": 4}
        self.assertEqual(self.call("b", 1, "/scale", **order), 200)
        self.assertEqual(self.state.desired, {("s", "z"): 4})

    def test_violations_are_noted(self):
        self.call("a", 2, windowId=1, counts={"x": 1})
        self.call("a", 2, windowId=1, counts={"x": 1})
        self.assertEqual(self.state.violations, [])
        self.call("a", 2, windowId=1, counts={"x": 2})
        self.call("b", 2, windowId=1, counts={"x": 1})
        self.assertEqual(len(self.state.violations), 2)

    def test_too_many_and_malformed_calls_are_refused(self):
        self.assertEqual(self.call("a", 2, counts={}), 400)
        self.assertEqual(self.state.call("GET", "/usage", {}, b"").status, 404)
        headers = {
            "carobladder-duty-holder": "a",
            "carobladder-fencing-token": "2",
        }
        body = b'{"windowId": 1, "counts": {}}'
        statuses = [
            self.state.call("POST", "/usage", headers, body).status for _ in range(4)
        ]
        self.assertEqual(statuses[-1], 429)
