"""The codecs of messages, command-channel frames and the configuration."""

from __future__ import annotations

import contextlib
import json
import random
import struct
import tempfile
import unittest
from pathlib import Path

from latchturn import interface as i
from latchturn import protocol as p
from latchturn.benchlink import read_settings

from .helpers import NESTED, set_up

MESSAGES: list[p.Message] = [
    set_up(1, to=2, via=-1, width=1),
    p.Progress(2),
    p.Answer(2**64 - 1, bytes(range(256))),
    p.Answer(3, b"", {"spare": 12.0, "total": 40.0}),
    p.Release(4, 34, "turned_back", 250, {"spare": 0.5}),
    p.Release(5, 16),
    p.ReleaseConfirmed(6),
    p.HealthCheck(7),
    p.HealthCheckResult(8, True),
    p.HealthCheckResult(9, False),
    p.GroupState(0, {"spare": 1.0, "allowed": -1.0}),
]


def encode_raw(kind: int, body: bytes = b"", call: int = 1) -> bytes:
    return struct.pack(">HBQ", 9 + len(body), kind, call) + body


def parameter(code: int, value: bytes) -> bytes:
    return struct.pack(">BH", code, len(value)) + value


class MessageCodec(unittest.TestCase):
    def test_a_release_has_the_documented_bytes(self) -> None:
        release = bytes.fromhex("000d0c7f3a9c21e0b4d655ab000110")
        self.assertEqual(p.encode(p.Release(0x7F3A9C21E0B4D655, 16)), release)
        self.assertEqual(list(p.message_decoder().feed(release)), [p.Release(0x7F3A9C21E0B4D655, 16)])

    def test_a_stream_decodes_the_same_however_it_is_split(self) -> None:
        data, rng = b"".join(map(p.encode, MESSAGES)), random.Random(1)
        for max_size in (1, 2, 7, 100, len(data)):
            decoder, decoded, at = p.message_decoder(), [], 0
            while at < len(data):
                size = rng.randint(1, max_size)
                decoded += decoder.feed(data[at : at + size])
                at += size
            self.assertEqual(decoded, MESSAGES)

    def test_unknown_messages_and_parameters_are_ignored(self) -> None:
        data = encode_raw(200, b"") + encode_raw(16, parameter(250, b"new")) + encode_raw(6, b"")
        self.assertEqual(
            list(p.message_decoder().feed(data)), [p.UnknownMessage(1, 200), p.ReleaseConfirmed(1), p.Progress(1)]
        )

    def test_a_malformed_message_raises_after_the_valid_ones(self) -> None:
        cases = {
            "too short": b"\x00\x08" + bytes(8),
            "too long": b"\x40\x01" + bytes(20),
            "truncated parameter header": encode_raw(16, b"\xab\x00"),
            "parameter past the message": encode_raw(16, b"\xab\x00\x09x"),
            "no cause": encode_raw(12),
            "two causes": encode_raw(12, parameter(171, b"\x10\x10")),
            "figure as a word": encode_raw(43, parameter(156, b"x0:many")),
            "infinite figure": encode_raw(43, parameter(156, b"x0:inf")),
            "figure not a number": encode_raw(43, parameter(156, b"x0:nan")),
        }
        for name, data in cases.items():
            with self.subTest(name):
                stream = p.message_decoder().feed(encode_raw(6) + data)
                self.assertEqual(next(stream), p.Progress(1))
                with self.assertRaises(p.ProtocolError):
                    next(stream)

    def test_an_invalid_set_up_does_not_end_the_stream(self) -> None:
        fields = {129: b"voice", 132: b"5", 141: b"7f", 144: b"dest:1;width:1;via:-1", 174: b"v=0"}

        def encode_set_up(**changes: bytes | None) -> bytes:
            values = {**fields, **{int(code[1:]): value for code, value in changes.items()}}
            return encode_raw(1, b"".join(parameter(k, v) for k, v in values.items() if v is not None))

        invalid: dict[str, bytes] = {
            "no class": encode_set_up(p129=None), "no wait": encode_set_up(p132=None),
            "no called number": encode_set_up(p141=None), "negative wait": encode_set_up(p132=b"-5"),
            "wait as a word": encode_set_up(p132=b"soon"), "empty wait": encode_set_up(p132=b""),
            "digits of another script": encode_set_up(p132="٥".encode()),
            "class not UTF-8": encode_set_up(p129=b"\xff"), "no description": encode_set_up(p174=None),
            "figure without value": encode_set_up(p144=b"x"), "figure not a number": encode_set_up(p144=b"dest:nan"),
            "fraction": encode_set_up(p144=b"dest:1.5"), "exponent": encode_set_up(p144=b"dest:1e0"),
            "repeated figure": encode_set_up(p144=b"dest:1;dest:2"),
            "figure too long": encode_set_up(p144=b"dest:" + b"9" * 40),
            "repeated parameter": encode_raw(1, b"".join(parameter(k, v) for k, v in fields.items())
                                             + parameter(129, b"voice")),
        }  # fmt: skip
        for name, data in invalid.items():
            with self.subTest(name):
                first, second = p.message_decoder().feed(data + encode_raw(6))
                self.assertIsInstance(first, p.InvalidSetUp)
                self.assertEqual(second, p.Progress(1))
        for figures in (b"dest:1", b"dest:1.0;width:1;via:-1;transit:1", b"dest:1;again:1"):
            (message,) = p.message_decoder().feed(encode_set_up(p144=figures, p135=b"acme"))
            self.assertEqual((message.figures["dest"], message.tenant), (1, "acme"))

    def test_messages_are_limited_to_16_kib(self) -> None:
        overhead = len(p.encode(p.Answer(1, b""))) - 2
        largest = p.Answer(1, bytes(p.MAX_MESSAGE_BYTES - overhead))
        self.assertEqual(list(p.message_decoder().feed(p.encode(largest))), [largest])
        with self.assertRaises(ValueError):
            p.encode(p.Answer(1, bytes(p.MAX_MESSAGE_BYTES - overhead + 1)))

    def test_random_bytes_raise_only_protocol_errors(self) -> None:
        rng = random.Random(2)
        for _ in range(500):
            data = bytearray(b"".join(map(p.encode, rng.sample(MESSAGES, 3))))
            for _ in range(rng.randint(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            with contextlib.suppress(p.ProtocolError):
                list(p.message_decoder().feed(bytes(data)))


class ChannelFrames(unittest.TestCase):
    RECORD = bytes.fromhex("00c41f7a7f0001090f1c010000000200000fa00000000000000005")
    HEAD = bytes.fromhex("00000024000000000000002a02")

    def test_frames_are_decoded_however_they_are_split(self) -> None:
        entry = i.ListEntry(0xC41F7A, 2, i.ListState.DRAINING, 5000)
        update = p.ListUpdate(42, i.ListKind.CHANGES, (p.ExchangeRecord(entry, ("127.0.1.9", 3868)),))
        data = bytes(4) + self.HEAD + self.RECORD + bytes.fromhex("00000009000000000000002a00")
        decoder, decoded = p.frame_decoder(), []
        for k in range(len(data)):
            decoded += decoder.feed(data[k : k + 1])
        self.assertEqual(decoded, [p.ListUpdate(0, None), update, p.ListUpdate(42, None)])
        self.assertEqual(p.encode_cursor(42), bytes(7) + b"*")

    def test_a_malformed_frame_raises_a_protocol_error(self) -> None:
        cases = {
            "too short": bytes.fromhex("00000008") + bytes(8),
            "too long": b"\xff" * 4,
            "unknown kind": bytes.fromhex("00000009000000000000002a07"),
            "incomplete record": bytes.fromhex("0000000a000000000000002a0200"),
            "unknown state": self.HEAD + self.RECORD[:10] + b"\x09" + self.RECORD[11:],
        }
        for name, data in cases.items():
            with self.subTest(name), self.assertRaises(p.ProtocolError):
                list(p.frame_decoder().feed(data))


class ConfigurationFile(unittest.TestCase):
    ENDPOINT = {
        "name": "s-00c41f7a", "address": "10.1.0.9:3868", "zone": "east", "type": "std", "group": 2,
        "status": "ready", "weight": 4, "since_ms": 7,
    }  # fmt: skip
    NODES = {"index": 7, "snapshot": True, "endpoints": [ENDPOINT]}
    CONFIG = {
        "name": "n3", "listen": "10.0.0.4:3868", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 4096}, "channel": "10.2.0.1:8500",
        "known": {"cursor": 3, "cmds": [{"cursor": 3, "nodes": NODES}]}, "settings": NESTED,
    }  # fmt: skip

    def read(self, config: object) -> p.Config:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(config if isinstance(config, str) else json.dumps(config))
            file.flush()
            return p.read_config(Path(file.name))

    def test_all_values_are_read(self) -> None:
        config = self.read(self.CONFIG)
        entry = i.ListEntry(0xC41F7A, 2, i.ListState.READY, 7000)
        update = p.ListUpdate(3, i.ListKind.FULL, (p.ExchangeRecord(entry, ("10.1.0.9", 3868)),))
        self.assertEqual((config.listen, config.channel), (("10.0.0.4", 3868), ("10.2.0.1", 8500)))
        self.assertEqual((config.known, config.cursor, config.sockets), ((update,), 3, 4096))
        settings, fields = read_settings(config.settings)
        self.assertEqual((settings.classes[0].name, settings.release_us), ("premium_quote", 300_000))
        self.assertEqual(fields, ["free", "size", "setups_per_s"])

    def test_an_invalid_file_raises_a_one_line_config_error(self) -> None:
        def changed_config(**changes: object) -> object:
            return {**self.CONFIG, **changes}

        nodes = {**self.NODES, "endpoints": [{**self.ENDPOINT, "status": "lost"}]}
        cases = [
            "", "[]", "{", {}, changed_config(listen="10.0.0.4"), changed_config(listen="h:99999"),
            changed_config(seed="xyz"),
            changed_config(limits={}), changed_config(known=[]), changed_config(settings=[]), changed_config(channel=7),
            changed_config(known={"cursor": 3, "cmds": [{"cursor": 3, "nodes": nodes}]}),
        ]  # fmt: skip
        for case in cases:
            with self.subTest(case), self.assertRaises(p.ConfigError) as caught:
                self.read(case)
            self.assertNotIn("\n", str(caught.exception))

    def test_settings_are_flattened_to_lines(self) -> None:
        nested = {
            "a": {"b-c": True, "d": 0.5}, "plain": [1, 2], "empty": [], "none": None,
            "text": "one two,three", "list": [{"x": 1}, {"x": False}],
        }  # fmt: skip
        lines = [
            "a.b-c=true", "a.d=0.5", "plain=1,2", "empty=", "none=", "text=one_two_three", "list.count=2",
            "list.0.x=1", "list.1.x=false", "",
        ]  # fmt: skip
        self.assertEqual(p.flatten_settings(nested).split("\n"), lines)
