"""Guards against checks of silences that pass over a broken answer, a second run or an endpoint without work."""

import unittest

import silence_checks as checks
from callers import Attempt
from endpoints import Arrival
from stream_callers import EVENTS, Event, Stream, StreamAttempt


def stream(events, tries=1):
    attempts = [StreamAttempt(f"{index}", "entry-0", 0.0) for index in range(tries)]
    attempts[-1].events = [Event(number, "r", "v1", 0.0) for number in range(1, events + 1)]
    return Stream(attempts)


class SilenceChecks(unittest.TestCase):

    def test_a_request_without_an_answer_is_found(self):
        answered = Attempt("1", "entry-0", 0.0, 0.1, 200)
        self.assertEqual([], checks.find_failed([answered]))
        for status in (0, 502, 503, 504):
            self.assertEqual(1, len(checks.find_failed([answered, Attempt("2", "entry-0", 0.0, 0.1, status)])))

    def test_a_stream_that_ends_early_or_is_taken_up_is_found(self):
        self.assertEqual([], checks.find_broken_streams([stream(EVENTS)]))
        self.assertEqual(1, len(checks.find_broken_streams([stream(EVENTS - 1)])))
        self.assertEqual(1, len(checks.find_broken_streams([stream(EVENTS, tries=2)])))
        self.assertEqual(1, len(checks.find_broken_streams([Stream()])))

    def test_a_second_call_of_an_unsafe_request_is_found(self):
        calls = [Arrival(0.0, "e-0", "1", "run"), Arrival(0.1, "e-1", "1", "run")]
        self.assertEqual([], checks.find_repeated(calls, unsafe={"2"}))
        self.assertEqual(1, len(checks.find_repeated(calls, unsafe={"1"})))

    def test_only_work_that_was_sent_after_the_silence_counts(self):
        sent_at = {"during": 1.5, "after": 2.1}
        held_up = Arrival(2.01, "e-0", "during", "run")
        new = Arrival(2.2, "e-0", "after", "run")
        silences = [(1.0, 2.0)]
        self.assertEqual(1, len(checks.find_idle("e-0", silences, [held_up], sent_at, end=10)))
        self.assertEqual([], checks.find_idle("e-0", silences, [held_up, new], sent_at, end=10))
        self.assertEqual([], checks.find_idle("e-0", silences, [held_up], sent_at, end=3))


if __name__ == "__main__":
    unittest.main()
