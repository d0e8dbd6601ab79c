import types
import unittest

import drain_checks
from slow_callers import SlowAttempt


def attempt(**changes):
    values = {"request": "r", "entry": "entry-0", "path": "/large/", "sent_at": 1.0, "ended_at": 2.0, "error": "closed"}
    return SlowAttempt(**(values | changes))


class FindCut(unittest.TestCase):

    def test_answer_that_ends_early_is_a_breach(self):
        found = drain_checks.find_cut([attempt(began=True, status=200, body_bytes=7)], {"r"})
        self.assertIn("after 7 bytes of status 200", found[0])

    def test_complete_answer_is_none(self):
        self.assertEqual(drain_checks.find_cut([attempt(began=True, complete=True)], {"r"}), [])

    def test_request_that_crosses_the_end_of_its_connection_is_none(self):
        self.assertEqual(drain_checks.find_cut([attempt(ended_at=1.19)], set()), [])
        self.assertEqual(len(drain_checks.find_cut([attempt(ended_at=1.21)], set())), 1)
        self.assertEqual(len(drain_checks.find_cut([attempt(ended_at=1.19)], {"r"})), 1)

    def test_pipelined_request_counts_once_it_was_passed_on(self):
        self.assertEqual(drain_checks.find_cut([attempt(pipelined=True)], set()), [])
        self.assertEqual(len(drain_checks.find_cut([attempt(pipelined=True)], {"r"})), 1)
        self.assertEqual(len(drain_checks.find_cut([attempt(pipelined=True, began=True)], set())), 1)

    def test_request_without_answer_until_its_deadline_is_a_breach(self):
        self.assertEqual(len(drain_checks.find_cut([attempt(error="timeout")], set())), 1)


    def test_caller_that_left_is_none(self):
        self.assertEqual(drain_checks.find_cut([attempt(began=True, left=True)], {"r"}), [])


class FindShort(unittest.TestCase):

    def test_complete_answer_that_lacks_a_part_is_a_breach(self):
        short = attempt(path="/stream/", complete=True, status=200, body_bytes=7)
        self.assertEqual(len(drain_checks.find_short([short], {"/stream/": 8})), 1)
        self.assertEqual(drain_checks.find_short([short], {"/stream/": 7}), [])


class FindLateStops(unittest.TestCase):

    def test_instance_is_gone_before_its_grace_ends(self):
        instance = types.SimpleNamespace(name="entry-0", stops=[(1.0, 8.9, 0)])
        self.assertEqual(drain_checks.find_late_stops([instance], grace_s=8), [])
        instance.stops = [(1.0, 9.0, 0), (1.0, 2.0, 1)]
        self.assertEqual(len(drain_checks.find_late_stops([instance], grace_s=8)), 2)


if __name__ == "__main__":
    unittest.main()
