"""Measures the states per second of the explorer with one process and with eight, on one scope.

.venv/bin/python -m bench.explorer [SCOPE] [SECONDS]
"""

from __future__ import annotations

import sys

from latchturn.checking.explorer import explore


def main() -> None:
    scope = sys.argv[1] if len(sys.argv) > 1 else "two"
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    rates = []
    for jobs in (1, 8):
        result = explore(scope, jobs, seconds)
        rates.append(result.states / result.seconds)
        print(f"{jobs} processes: {result.states} states, {result.transitions} transitions, {result.seconds:.1f} s, "
              f"{rates[-1]:.0f} states/s")  # fmt: skip
    print(f"eight processes against one: {rates[1] / rates[0]:.2f}")


if __name__ == "__main__":
    main()
