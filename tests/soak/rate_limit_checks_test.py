"""Guards against checks that pass whatever reaches an endpoint, and against checks that fail allowed traffic."""

import unittest

import rate_limit_checks as checks


def every(period, begin, end):
    count = int((end - begin) / period)
    return [begin + index * period for index in range(count)]


class FindExcessTest(unittest.TestCase):

    def test_three_times_the_limit_is_found(self):
        self.assertTrue(checks.find_excess("e", [(0, 5)], every(1 / 15, 0, 20)))

    def test_the_limit_itself_is_allowed(self):
        self.assertFalse(checks.find_excess("e", [(0, 5)], every(1 / 5, 0, 20)))

    def test_a_burst_beyond_the_factor_and_the_fixed_part_is_found(self):
        burst = [10.0 + index / 1000 for index in range(36)]
        self.assertTrue(checks.find_excess("e", [(0, 5)], burst))
        self.assertFalse(checks.find_excess("e", [(0, 5)], burst[:35]))

    def test_the_time_in_which_a_limit_becomes_known_is_excused(self):
        self.assertFalse(checks.find_excess("e", [(0, 5)], every(1 / 50, 0, 2.9)))

    def test_a_limit_that_ended_is_not_kept(self):
        self.assertFalse(checks.find_excess("e", [(0, 5), (10, None)], every(1 / 50, 10, 20)))

    def test_a_lower_limit_holds_once_it_is_known(self):
        limits = [(0, 20), (10, 2)]
        self.assertTrue(checks.find_excess("e", limits, every(1 / 20, 0, 20)))
        self.assertFalse(checks.find_excess("e", limits, every(1 / 20, 0, 10) + every(1 / 2, 10, 20)))


class FindIdleTest(unittest.TestCase):

    def find(self, arrivals, refusals, calm=lambda begin, end: True):
        return checks.find_idle("e", [(0, 5)], arrivals, refusals, calm, 20)

    def test_a_limit_left_idle_while_callers_are_refused_is_found(self):
        self.assertTrue(self.find(every(1, 0, 20), every(0.5, 0, 20)))

    def test_a_used_limit_is_no_breach(self):
        self.assertFalse(self.find(every(1 / 4, 0, 20), every(0.5, 0, 20)))

    def test_an_idle_limit_is_no_breach_while_nobody_is_refused(self):
        self.assertFalse(self.find([], []))

    def test_a_disturbed_window_is_left_out(self):
        self.assertFalse(self.find([], every(0.5, 0, 20), calm=lambda begin, end: False))


if __name__ == "__main__":
    unittest.main()
