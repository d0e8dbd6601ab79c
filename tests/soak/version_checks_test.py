"""Guards against checks that pass whatever versions a stream holds, or however few of them go on."""

import unittest

import version_checks as checks
from stream_callers import Event, Stream, StreamAttempt


def attempt(name, numbers, version="v1", resumes=None):
    events = [Event(number, "e", version, 0.0) for number in numbers]
    return StreamAttempt(name, "entry-0", 0.0, resumes, 200, events)


class VersionChecksTest(unittest.TestCase):

    def test_two_versions_over_two_tries_are_found(self):
        stream = Stream([attempt("a", [1, 2], "v1"), attempt("b", [3], "v2", "a")])
        self.assertEqual(1, len(checks.find_mixed([stream])))

    def test_one_version_is_no_breach(self):
        stream = Stream([attempt("a", [1, 2]), attempt("b", []), attempt("c", [3], resumes="a")])
        self.assertFalse(checks.find_mixed([stream]))
        self.assertFalse(checks.find_gaps([stream]))

    def test_missing_and_doubled_events_are_found(self):
        for numbers in ([1, 3], [1, 1], [2]):
            self.assertTrue(checks.find_gaps([Stream([attempt("a", numbers)])]))

    def test_streams_that_do_not_go_on_are_found(self):
        streams = [Stream([attempt("a", [1]), attempt("b", [], resumes="a")]) for _ in range(12)]
        self.assertTrue(checks.find_lost(streams, lambda tried: True))
        self.assertFalse(checks.find_lost(streams[:11], lambda tried: True))
        self.assertFalse(checks.find_lost(streams, lambda tried: tried.resumes is None))


if __name__ == "__main__":
    unittest.main()
