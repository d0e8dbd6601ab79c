"""Guards against checks of cuts that pass over callers who are served worse, kept waiting or told a falsehood."""

import unittest

import cut_checks as checks
from cut_links import Cut
from cut_soak import FirstTry
from endpoints import Arrival


def tries(entry, count, status, at=5.0, took=0.05, unsafe=False):
    return [FirstTry(f"{entry}-{number}", entry, at, at + took, status, status == checks.SERVED, unsafe)
            for number in range(count)]


def no_trouble(_entry, _begin, _end):
    return False


class CutChecks(unittest.TestCase):

    def setUp(self):
        self.cut = Cut("hang", "one", frozenset({"entry-0"}), 1.0, 9.0)
        self.all_cut = Cut("hang", "all", frozenset({"entry-0", "entry-1"}), 1.0, 9.0)

    def test_callers_that_are_served_worse_are_found(self):
        others = tries("entry-1", 100, 200)
        self.assertEqual(1, len(checks.find_unserved(self.cut, tries("entry-0", 50, 503) + others, no_trouble)))
        self.assertEqual([], checks.find_unserved(self.cut, tries("entry-0", 50, 200) + others, no_trouble))

    def test_a_few_failures_or_as_many_at_the_others_are_allowed(self):
        self.assertEqual([], checks.find_unserved(self.cut, tries("entry-0", 10, 503) + tries("entry-1", 100, 200),
                                                  no_trouble))
        self.assertEqual([], checks.find_unserved(self.cut, tries("entry-0", 50, 503) + tries("entry-1", 100, 503),
                                                  no_trouble))

    def test_what_was_sent_early_or_at_a_troubled_instance_does_not_count(self):
        early = tries("entry-0", 50, 503, at=2.0)
        others = tries("entry-1", 100, 200)
        self.assertEqual([], checks.find_unserved(self.cut, early + others, no_trouble))
        self.assertEqual([], checks.find_unserved(self.cut, tries("entry-0", 50, 503) + others,
                                                  lambda entry, begin, end: entry == "entry-0"))

    def test_callers_that_are_kept_waiting_for_nothing_are_found(self):
        self.assertEqual([], checks.find_held(self.all_cut, tries("entry-0", 50, 503), no_trouble))
        self.assertEqual(1, len(checks.find_held(self.all_cut, tries("entry-0", 50, 503, took=0.5), no_trouble)))
        self.assertEqual(1, len(checks.find_held(self.all_cut, tries("entry-0", 50, 504), no_trouble)))
        self.assertEqual([], checks.find_held(self.cut, tries("entry-0", 50, 503, took=0.5), no_trouble))

    def test_a_refusal_of_a_request_that_ran_is_found(self):
        refused = tries("entry-0", 1, 503, unsafe=True)
        self.assertEqual(1, len(checks.find_falsely_refused(refused, [Arrival(5.0, "e-0", "entry-0-0", "run")])))
        self.assertEqual([], checks.find_falsely_refused(refused, [Arrival(5.0, "e-0", "entry-0-1", "run")]))


if __name__ == "__main__":
    unittest.main()
