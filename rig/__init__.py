"""Fault injection on real processes over loopback: simulated exchanges, proxies, clients, rules and seeded trials.

The program under test is started with the command in deploy/balancer.toml. Each exchange is a process of its own behind
a proxy that can cut, delay and reset connections. `python -m rig.soak` runs trials (`--help` lists its arguments);
docs/soak.md describes the faults that they inject and the rules that they check.
"""
