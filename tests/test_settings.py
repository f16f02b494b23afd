"""Tests of configuration changes at run time: when settings take effect, and which files are rejected as a whole."""

from __future__ import annotations

import copy
import json
import signal
import tempfile
import unittest
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from latchturn import interface as i
from latchturn import protocol as p
from latchturn import session as s
from latchturn.__main__ import read_config_and_settings
from latchturn.net import Server
from latchturn.session import limits

from .helpers import (
    NESTED,
    SECOND,
    SETTINGS,
    ControllerHarness,
    Program,
    SessionHarness,
    final_answers,
    sent_to,
    set_up,
    settings_with,
)

PLAIN = i.CallClass("premium quote", 1.0, 0.1, 1_500_000, 9 * SECOND, 1, 10 * SECOND)
NEXT = replace(PLAIN, name="next quote", give_up_us=3 * SECOND)


def of_class(call: int, name: str, wait_ms: int = 3000) -> p.SetUp:
    """A set-up of a call of a class."""
    return replace(set_up(call, wait_ms=wait_ms), class_name=name)


class ChangedClasses(unittest.TestCase):
    """The reducer after a change of settings."""

    def apply(self, session_harness: SessionHarness, *classes: i.CallClass, **more: int) -> None:
        """Reconfigure the reducer with these classes and other settings."""
        settings = replace(session_harness.session.classes.settings, classes=classes, **more)  # type: ignore[arg-type]
        session_harness.submit(s.Reconfigured((), ("127.0.0.1", 9), 1024, settings))

    def accepts(self, session_harness: SessionHarness, message: p.SetUp) -> bool:
        """Whether a set-up sent on connection 1 counts as valid."""
        written = [m for _, m in session_harness.deliver(1, message)]
        return p.Release(message.call, p.ReleaseCause.INVALID_CONTENTS) not in written

    def test_new_classes_are_valid_at_once_and_old_ones_until_their_callers_give_up(self) -> None:
        session_harness = SessionHarness()
        self.assertFalse(self.accepts(session_harness, of_class(1, "next_quote")))
        self.apply(session_harness, NEXT)
        self.assertTrue(self.accepts(session_harness, of_class(2, "next_quote")))
        self.assertTrue(self.accepts(session_harness, of_class(3, "premium_quote", 8000)))
        self.assertFalse(self.accepts(session_harness, of_class(4, "next_quote", 8000)))
        session_harness.pass_time(PLAIN.give_up_us - SECOND)
        self.assertTrue(self.accepts(session_harness, of_class(5, "premium_quote", 500)))
        session_harness.pass_time(2 * SECOND)
        self.assertFalse(self.accepts(session_harness, of_class(6, "premium_quote", 500)))
        self.assertTrue(self.accepts(session_harness, of_class(7, "next_quote")))
        self.assertEqual(session_harness.figure("sighup_applied"), 1)
        self.assertGreater(session_harness.figure("declined.premium_quote"), 0)  # the figures of the removed class stay

    def test_a_wait_allowed_by_the_previous_settings_is_still_valid(self) -> None:
        session_harness = SessionHarness()
        self.apply(session_harness, replace(PLAIN, give_up_us=SECOND))
        self.assertTrue(self.accepts(session_harness, of_class(1, "premium_quote", 8000)))

    def test_a_class_that_moves_to_another_index_is_the_same_class(self) -> None:
        session_harness = SessionHarness()
        session_harness.deliver(1, set_up(1))
        self.apply(session_harness, NEXT, PLAIN)
        session_harness.deliver(1, set_up(2))
        module_calls = session_harness.session.decision_module.controller.calls
        self.assertEqual(
            [module_calls[1].call_class.name, module_calls[2].call_class.name], ["premium_quote", PLAIN.name]
        )
        session_harness.deliver(session_harness.first_links[1], p.Answer(1, b"yes"))
        self.assertEqual(session_harness.figure("succeeded.premium_quote"), 1)

    def test_after_sigterm_calls_from_before_a_change_are_answered_before_any_sigkill(self) -> None:
        # By the shorter wait of the old and the new settings: the program cannot know which one the deployment uses.
        for before_us, now_us in ((9 * SECOND, SECOND // 2), (SECOND // 2, 9 * SECOND)):
            session_harness = SessionHarness()
            self.apply(session_harness, replace(PLAIN, name="premium_quote", give_up_us=before_us, target_us=450_000))
            session_harness.pass_time_with_reports(10 * SECOND)
            session_harness.submit(s.Accepted(2))
            written = session_harness.deliver(2, set_up(1, wait_ms=min(2500, before_us // 1000)))
            self.apply(session_harness, replace(PLAIN, name="premium_quote", give_up_us=now_us, target_us=450_000))
            self.assertEqual(session_harness.figure("outstanding"), 1)
            session_harness.submit(s.Terminate())
            kill_us = SECOND // 2 + 700_000
            written += session_harness.pass_time_with_reports(
                kill_us - limits.SIGKILL_MARGIN_US, report_interval_us=SECOND // 10
            )
            self.assertEqual([m.call for stream, m in written if stream == 2], [1])
            self.assertTrue(session_harness.exited)


class DecisionModule(unittest.TestCase):
    """The decision module after a change of settings, and its rule for classes of which a call may run only once."""

    def test_a_lower_limit_of_attempts_applies_to_open_calls_and_a_higher_one_does_not(self) -> None:
        for before, after, sent_again in ((4, 1, False), (4, 2, True), (1, 4, False)):
            harness = ControllerHarness(settings_with(max_attempts=before))
            call, _ = harness.offer(1)
            harness.submit(i.SettingsChanged(settings_with(max_attempts=after)))
            actions = harness.end_attempt(call, 1, i.Outcome.TURNED_AWAY, i.Cause.NO_CIRCUIT)
            self.assertEqual((bool(sent_to(actions)), bool(final_answers(actions))), (sent_again, not sent_again))

    def test_a_queued_call_that_is_out_of_attempts_is_answered_at_once(self) -> None:
        harness = ControllerHarness(remote_exchanges=1)
        call, _ = harness.offer(1)
        harness.report(1, 0)
        self.assertEqual(final_answers(harness.end_attempt(call, 1, i.Outcome.TURNED_AWAY, i.Cause.NO_CIRCUIT)), [])
        self.assertEqual(final_answers(harness.submit(i.SettingsChanged(settings_with(max_attempts=1)))), [call])

    def test_an_open_call_keeps_its_class_when_settings_change(self) -> None:
        harness = ControllerHarness()
        call, _ = harness.offer(1, cls=2)
        harness.submit(i.SettingsChanged(settings_with(classes=SETTINGS.classes[:1])))
        self.assertEqual(harness.controller.calls[call].call_class.name, "urgent")
        self.assertEqual(final_answers(harness.answer(call, 1)), [])

    def test_a_call_that_may_run_at_most_once_fails_if_it_may_have_run(self) -> None:
        at_most_once = settings_with(classes=tuple(replace(c, at_most_once=True) for c in SETTINGS.classes))
        cases = {
            i.Outcome.CUT: i.Fail, i.Outcome.TIMED_OUT: i.Fail, i.Outcome.NO_LINE: i.Fail,
            i.Outcome.TURNED_AWAY: i.SendSetup, i.Outcome.UNREACHABLE: i.SendSetup,
        }  # fmt: skip
        for outcome, action in cases.items():
            harness = ControllerHarness(at_most_once)
            call, _ = harness.offer(1)
            cause = i.Cause.NUMBER_BUSY if outcome is i.Outcome.NO_LINE else i.Cause.NONE
            actions = harness.end_attempt(call, 1, outcome, cause)
            actions = [a for a in actions if isinstance(a, i.Fail | i.Refuse | i.SendSetup)]
            self.assertEqual([type(a) for a in actions], [action], outcome)


def without(*path: str) -> Callable[[dict[str, Any]], None]:
    """A change that deletes a key; a list on the path stands for its first item."""

    def delete_key(data: dict[str, Any]) -> None:
        for key in path[:-1]:
            data = data[key] if not isinstance(data[key], list) else data[key][0]
        del data[path[-1]]

    return delete_key


def with_grade(key: str, value: object) -> Callable[[dict[str, Any]], None]:
    """A change that sets a value of the first class."""
    return lambda data: data["settings"]["grades"][0].__setitem__(key, value)


INVALIDATING_CHANGES: dict[str, Callable[[dict[str, Any]], object]] = {
    "no settings": without("settings"),
    "no limits": without("limits"),
    "no channel": without("channel"),
    "no target": without("settings", "grades", "objective-us"),
    "no class name": without("settings", "grades", "name"),
    "no value when late": without("settings", "grades", "late-value"),
    "no widths": without("settings", "family-info", "widths"),
    "no retry-after limit": without("settings", "allowed", "max-retry-after-us"),
    "no limit of attempts": without("settings", "allowed", "send-cap"),
    "no tenants": without("settings", "realms"),
    "negative wait": with_grade("give-up-us", -5),
    "wait 0": with_grade("give-up-us", 0),
    "wait not a number": with_grade("give-up-us", None),
    "attempts 0": lambda data: data["settings"]["allowed"].__setitem__("send-cap", 0),
    "no classes": lambda data: data["settings"].__setitem__("grades", []),
}


class Files(unittest.TestCase):
    """The configuration file that is read on SIGHUP."""

    def test_an_invalid_file_is_rejected_as_a_whole_and_a_valid_one_is_not(self) -> None:
        inputs: list[s.Input] = []

        class RecordingReducer:
            def step(self, now: int, input_: s.Input) -> list[s.Effect]:
                inputs.append(input_)
                return []

            def wake_us(self) -> None:
                return None

        valid = {
            "name": "n0", "listen": "127.0.0.1:1", "seed": "8c", "channel": "127.0.0.1:2",
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384}, "known": {"cursor": 0, "cmds": []},
            "settings": NESTED,
        }  # fmt: skip
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps({**valid, "admin_addr": "127.0.0.1:3"}))
            config, _ = read_config_and_settings(str(path))
            server = Server(config, RecordingReducer(), lambda: read_config_and_settings(str(path)))  # type: ignore[arg-type]
            texts = {"empty": "", "truncated": json.dumps(valid)[:-30], "a list": "[]"}
            for name, invalidate in INVALIDATING_CHANGES.items():
                data = copy.deepcopy(valid)
                invalidate(data)
                texts[name] = json.dumps(data)
            for name, text in texts.items():
                path.write_text(text)
                server._reconfigure()
                self.assertIsInstance(inputs.pop(), s.ConfigRejected, name)
            larger = copy.deepcopy(valid)
            first = larger["settings"]["grades"][0]
            larger["settings"]["grades"].append({**first, "name": "v2", "effect": "pure"})
            larger["settings"]["family-info"].update({"widths": [1, 1], "class-hold-us": [1, 1]})
            for data in (valid, larger):
                path.write_text(json.dumps(data))
                server._reconfigure()
                self.assertIsInstance(inputs.pop(), s.Reconfigured)

    def test_sighup_rejects_an_invalid_file_and_applies_a_valid_one(self) -> None:
        with Program() as program:
            caller = program.caller()
            settings = copy.deepcopy(NESTED)
            settings["grades"][0]["name"] = "next quote"
            changed = json.dumps({**program.config, "settings": settings})
            for text, figure in (("{", "rejected"), (changed, "applied")):
                program.path.write_text(text)
                program.process.send_signal(signal.SIGHUP)
                while f"edge_gw.sighup_{figure}:1|c" not in program.ask_admin("INFO"):
                    pass
            caller.send(of_class(1, "next_quote"), set_up(2))
            self.assertEqual({program.links[1].next().call for _ in range(2)}, {1, 2})
            program.links[1].send(p.Answer(1, b"yes"))
            self.assertEqual(caller.next(), p.Answer(1, b"yes"))
            self.assertIn("edge_gw.succeeded.next_quote:1|c", program.ask_admin("INFO"))
