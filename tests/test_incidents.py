"""Reproductions of the incidents in docs/incidents/, with real processes over loopback."""

from __future__ import annotations

import unittest

from rig import known_red, scenario, soak


class Incidents(unittest.TestCase):
    def test_2026_12_02_calls_on_vanished_exchanges_end_in_time_while_discovery_is_down(self) -> None:
        record, violations = soak.run_trial(scenario.silent_exchanges())
        lost = [s for s in record.standing.values() if s.ended_us and not s.delivered_us and not s.released_by_program]
        self.assertGreater(len(lost), 5)  # calls stood at the exchanges when these vanished
        violations, _ = known_red.split_known("incident", violations, known_red.read())
        self.assertEqual([f"{v.rule}: {v.text}" for v in violations], [])
