"""Guards against scripts/faults.py signalling the wrong process, leaving a
process stopped, or writing records that the checker can't parse."""

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.request

BIN_DIR = pathlib.Path(sys.argv.pop())
FAULTS_SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "faults.py"
TIMEOUT_S = 10


def process_state(pid):
    with open(f"/proc/{pid}/stat") as stat:
        return stat.read().rsplit(")", 1)[1].split()[0]


class FaultsTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addresses = pathlib.Path(self.folder.name) / "addresses.json"
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        self.endpoint = subprocess.Popen(
            [BIN_DIR / "cassiausher_fake_endpoint", "--name", "e1", "--service", "s", "--listen", f"127.0.0.1:{port}"],
            stderr=subprocess.DEVNULL)
        self.wait_for(lambda: self.state() is not None)
        self.write(self.endpoint.pid)

    def tearDown(self):
        self.endpoint.kill()
        self.endpoint.wait()
        self.folder.cleanup()

    def write(self, pid):
        self.addresses.write_text(json.dumps({"instances": [], "endpoints": [
            {"name": "e1", "data_centre": "d", "service": "s", "role": "decode", "url": self.url, "pid": pid}]}))

    def state(self):
        try:
            with urllib.request.urlopen(self.url + "/fake/state", timeout=2) as answer:
                return json.load(answer)
        except OSError:
            return None

    def wait_for(self, condition):
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), end, "timed out waiting for the condition")
            time.sleep(0.02)

    def faults(self, *arguments):
        return subprocess.run([sys.executable, FAULTS_SCRIPT, *arguments, "--addresses", self.addresses],
                              capture_output=True, text=True, timeout=60, check=False)

    def records(self, result):
        return [json.loads(line) for line in result.stdout.splitlines()]

    def test_kill_terminates_the_process_and_is_recorded(self):
        record = self.records(self.faults("kill", "e1"))[0]
        self.assertEqual(self.endpoint.wait(TIMEOUT_S), -9)
        self.assertEqual((record["fault"], record["target"]), ("kill", "e1"))
        self.assertLess(abs(record["unix_ms"] / 1000 - time.time()), TIMEOUT_S)

    def test_term_exits_with_status_0(self):
        self.faults("term", "e1")
        self.assertEqual(self.endpoint.wait(TIMEOUT_S), 0)

    def test_stop_resumes_the_process_after_its_duration(self):
        script = subprocess.Popen([sys.executable, FAULTS_SCRIPT, "stop", "e1", "--stop-seconds", "0.5",
                                   "--addresses", self.addresses], stdout=subprocess.PIPE, text=True)
        self.wait_for(lambda: process_state(self.endpoint.pid) == "T")
        output, _ = script.communicate(timeout=TIMEOUT_S)
        self.assertNotEqual(process_state(self.endpoint.pid), "T")
        self.assertEqual(json.loads(output)["duration_ms"], 500)

    def test_terminating_the_script_resumes_the_stopped_process(self):
        script = subprocess.Popen([sys.executable, FAULTS_SCRIPT, "stop", "e1", "--stop-seconds", "60",
                                   "--addresses", self.addresses], stdout=subprocess.DEVNULL)
        self.wait_for(lambda: process_state(self.endpoint.pid) == "T")
        script.terminate()
        script.wait(TIMEOUT_S)
        self.assertNotEqual(process_state(self.endpoint.pid), "T")

    def test_fake_sets_faults_of_the_endpoint_and_rejects_unknown_ones(self):
        self.faults("fake", "e1", '{"fencing":"ignore"}')
        self.assertEqual(self.state()["fencing"], "ignore")
        result = self.faults("fake", "e1", '{"nonsense":1}')
        self.assertNotEqual(result.returncode, 0)
        self.assertIn("nonsense", result.stderr)

    def test_checker_reads_the_records_and_rejects_a_truncated_history(self):
        folder = pathlib.Path(self.folder.name)
        records = folder / "faults.jsonl"
        history = folder / "history.jsonl"
        self.faults("stop", "e1", "--stop-seconds", "0.1", "--log", records)
        load = [BIN_DIR / "cassiausher_load", "direct", "--url", self.url, "--requests", "5", "--settle-ms", "0",
                "--history", history, "--faults", records, "--check", "--format", "json"]
        result = subprocess.run(load, capture_output=True, text=True, timeout=60, check=False)
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
        report = json.loads(result.stdout)
        self.assertEqual((report["answered"], report["violations"]), (5, 0))
        self.assertIn('"fault":"stop"', history.read_text())
        history.write_text("\n".join(history.read_text().splitlines()[:-1]) + "\n")
        check = [BIN_DIR / "cassiausher_load", "check", history, "--faults", records]
        result = subprocess.run(check, capture_output=True, text=True, timeout=60, check=False)
        self.assertEqual(result.returncode, 1)
        self.assertIn("cut short", result.stderr)

    def test_unlisted_and_reused_pids_are_not_signalled(self):
        self.assertNotEqual(self.faults("kill", "e2").returncode, 0)
        # The listed pid has been reused by another program.
        other = subprocess.Popen(["sleep", "60"])
        try:
            self.write(other.pid)
            self.assertEqual(self.records(self.faults("kill", "e1")), [])
            self.assertIsNone(other.poll())
        finally:
            other.kill()
            other.wait()

    def test_same_seed_gives_the_same_faults(self):
        arguments = ("random", "--kinds", "late,repeat,stall", "--seconds", "1", "--every", "0.1", "--seed", "7")
        first = [record["fault"] for record in self.records(self.faults(*arguments))]
        second = [record["fault"] for record in self.records(self.faults(*arguments))]
        shorter = min(len(first), len(second))
        self.assertGreater(shorter, 0)
        self.assertEqual(first[:shorter], second[:shorter])
        self.assertIn("unknown kinds: x", self.faults("random", "--kinds", "x").stderr)


if __name__ == "__main__":
    unittest.main()
