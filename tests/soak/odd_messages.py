"""Messages between instances that no instance would send: of the right types, with values at random and at their limits.

Reads the types from proto/; encodes them by hand, since the packages of the build have no protobuf for Python.
"""

import pathlib
import re
import struct

PROTO = pathlib.Path(__file__).resolve().parents[2] / "proto"
MESSAGE = re.compile(r"^message (\w+) \{(?:\}|(.*?)^\})", re.MULTILINE | re.DOTALL)
FIELD = re.compile(r"^\s*(repeated |optional )?(map<[^>]+>|[\w.]+) (\w+) = (\d+)", re.MULTILINE)
VARINTS = ("bool", "int64", "uint32", "uint64", "int32")
LIMITS = (0, 1, 2, 255, 2**31 - 1, 2**31, 2**32, 2**53, 2**63 - 1, 2**63, 2**64 - 1)
DOUBLES = (0.0, -1.0, 1e308, float("inf"), float("-inf"), float("nan"), 1e-300)
MAX_DEPTH = 4


def read_types(*files):
    types = {}
    for file in files:
        text = re.sub(r"//[^\n]*", "", (PROTO / file).read_text())
        for name, body in MESSAGE.findall(text):
            types[name] = [(kind, field, int(number)) for _, kind, field, number in FIELD.findall(body)]
    return types


TYPES = read_types("node.proto", "raft.proto")


def varint(value):
    value %= 2**64
    out = bytearray()
    while value > 127:
        out.append(value & 127 | 128)
        value >>= 7
    return bytes(out + bytes([value]))


def tagged(number, content):
    return varint(number << 3 | 2) + varint(len(content)) + content


class OddMessages:
    """`names` are values that strings often have, such as addresses and ids of the deployment."""

    def __init__(self, source, names):
        self.random = source
        self.names = names

    def node_message(self, sender):
        """A NodeMessage of a known sender with one body."""
        fields = {field: (kind, number) for kind, field, number in TYPES["NodeMessage"]}
        bodies = [name for name, (kind, _) in fields.items() if kind in TYPES or name == "raft"]
        chosen = self.random.choice(bodies)
        message = tagged(fields["sender"][1], sender.encode())
        message += varint(fields["incarnation"][1] << 3) + varint(self.random.choice((1, 2**62, 2**63)))
        kind, number = fields[chosen]
        content = self.message("RaftMessage" if chosen == "raft" else kind, 0)
        message += tagged(number, content)
        return self._spoil(message) if self.random.random() < 0.1 else message

    def message(self, name, depth):
        out = b""
        for kind, _, number in TYPES[name]:
            for _ in range(self.random.choice((0, 1, 1, 1, 3))):
                out += self._field(kind, number, depth)
        return out

    def _field(self, kind, number, depth):
        if kind in TYPES:
            return tagged(number, self.message(kind, depth + 1)) if depth < MAX_DEPTH else b""
        if kind == "double":
            return varint(number << 3 | 1) + struct.pack("<d", self.random.choice(DOUBLES))
        if kind == "fixed64":
            return varint(number << 3 | 1) + struct.pack("<Q", self.random.choice(LIMITS))
        if kind in ("string", "bytes") or kind.startswith("map<"):
            return tagged(number, self._text())
        if kind in VARINTS:
            return varint(number << 3) + varint(self.random.choice(LIMITS))
        return varint(number << 3) + varint(self.random.choice((0, 1, 2, 7, 2**31)))

    def _text(self):
        choice = self.random.random()
        if choice < 0.6:
            return self.random.choice(self.names).encode()
        if choice < 0.8:
            return b""
        return self.random.randbytes(self.random.choice((1, 8, 300)))

    def _spoil(self, message):
        at = self.random.randrange(len(message))
        return message[:at] + self.random.randbytes(self.random.randint(0, 4)) + message[at + 1:]
