import unittest

import power_checks
from power_checks import Acknowledgement, Read


class FindOlder(unittest.TestCase):

    def test_read_sent_after_an_acknowledgement_shows_it(self):
        acknowledged = [Acknowledgement(7, "control-0", 1.0)]
        self.assertEqual(power_checks.find_older(acknowledged, [Read(7, "control-1", 1.0, 1.1)]), [])
        self.assertEqual(power_checks.find_older(acknowledged, [Read(6, "control-1", 0.9, 1.1)]), [])
        self.assertIn("showed version 6", power_checks.find_older(acknowledged, [Read(6, "control-1", 1.0, 1.1)])[0])

    def test_read_sent_after_another_read_is_not_older(self):
        reads = [Read(8, "control-0", 1.0, 1.1), Read(7, "control-1", 1.2, 1.3)]
        self.assertIn("read at control-0", power_checks.find_older([], reads)[0])
        self.assertEqual(power_checks.find_older([], [reads[0], Read(7, "control-1", 1.05, 1.3)]), [])


class FindAltered(unittest.TestCase):

    def test_document_belongs_to_its_version(self):
        self.assertEqual(power_checks.find_altered([Read(3, "control-0", 1, 2, "r-version-3")]), [])
        self.assertEqual(len(power_checks.find_altered([Read(3, "control-0", 1, 2, "r-version-2")])), 1)


if __name__ == "__main__":
    unittest.main()
