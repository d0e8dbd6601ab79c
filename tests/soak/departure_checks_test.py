"""Guards against checks that pass whatever reaches endpoints that have left."""

import unittest

import departure_checks as checks
from callers import Attempt
from endpoints import Arrival


class DepartureChecks(unittest.TestCase):

    def find(self, at, endpoint="e", in_touch=True):
        departures = [checks.Departure("e", 10.0)]
        return checks.find_late(departures, [Arrival(at, endpoint, "r", "run")], lambda *_: in_touch)

    def test_a_late_request_is_found(self):
        self.assertTrue(self.find(12.5))

    def test_requests_in_time_or_to_others_or_from_the_disturbed_are_not(self):
        self.assertFalse(self.find(9.0) + self.find(12.1) + self.find(15.0, "f") + self.find(15.0, in_touch=False))

    def test_an_answer_of_nobody_is_found(self):
        attempts = [Attempt("r", "entry-0", 0.0, status=200, body="y"), Attempt("s", "entry-0", 0.0, status=200, body="x"),
                    Attempt("t", "entry-0", 0.0, status=502, body="y")]
        self.assertEqual(1, len(checks.find_false(attempts, "x")))


if __name__ == "__main__":
    unittest.main()
