"""A gateway whose output nobody reads goes on serving, and says what it left out.

    DALESHELFD=build/bin/daleshelfd python3 -m unittest log_reader_test
"""

import json
import os
import signal
import socket
import subprocess
import tempfile
import unittest
from pathlib import Path

HOST = "127.251.1.1"
PORTS = {"clients": 23101, "readiness": 23102, "metrics": 23103,
         "peers": 23104}
# Each request leaves a line of some 200 bytes: many times what a pipe holds.
REQUESTS = 20000
LONGEST_WAIT = 120.0  # seconds; bounds a hang and decides nothing else


def write_settings(path):
    sections = "".join(f'[{name}]\naddress = "{HOST}:{port}"\n'
                       for name, port in PORTS.items())
    # Nothing listens at the store's address: every request is refused.
    path.write_text('[host]\nid = "one"\nhall = "h"\n' + sections +
                    f'[store]\naddress = "{HOST}:1"\n')


def connect():
    """Connects once the gateway listens."""
    for _ in range(int(LONGEST_WAIT / 0.05)):
        connection = socket.socket()
        connection.settimeout(LONGEST_WAIT)
        try:
            connection.connect((HOST, PORTS["clients"]))
            return connection
        except OSError:
            connection.close()
            signal.sigtimedwait([], 0.05)
    raise AssertionError("the gateway does not listen")


def ask(connection, number):
    connection.sendall(
        f"GET /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {number}\r\n\r\n"
        .encode())
    answer = b""
    while b"\r\n\r\n" not in answer:
        piece = connection.recv(4096)
        if not piece:
            raise AssertionError(f"closed after {number} requests")
        answer += piece
    return int(answer.split(b" ")[1])


class LogReaderTest(unittest.TestCase):
    def test_a_reader_that_stands_still_holds_nothing_up(self):
        with tempfile.TemporaryDirectory() as folder:
            settings = Path(folder) / "one.toml"
            write_settings(settings)
            gateway = subprocess.Popen(
                [os.environ["DALESHELFD"], "gateway"], stdout=subprocess.PIPE,
                env={**os.environ, "DALESHELF_BOOT": str(settings)})
            try:
                connection = connect()
                statuses = {ask(connection, number)
                            for number in range(REQUESTS)}
                self.assertEqual(statuses, {503})
                connection.close()
                gateway.send_signal(signal.SIGTERM)
                output, _ = gateway.communicate(timeout=LONGEST_WAIT)
            finally:
                gateway.kill()
                gateway.wait()
        events = [json.loads(line) for line in output.splitlines()
                  if line.startswith(b"{") and line.endswith(b"}")]
        refused = sum(event["name"] == "request_refused" for event in events)
        self.assertGreater(refused, 0)
        self.assertLess(refused, REQUESTS, "nothing was ever held back")
        self.assertTrue(any(event["name"] == "lines_dropped"
                            for event in events))


if __name__ == "__main__":
    unittest.main()
