"""Fault injection on real processes over loopback: stand-ins, proxies, clients, rules and seeded trials.

The program under test is started by the deploy line; exchanges are processes of their own behind a proxy that can cut,
hold and reset connections. `python -m rig.soak --help` runs trials; docs/soak.md says what they play and check.
"""
