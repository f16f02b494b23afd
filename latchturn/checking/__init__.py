"""A model checker for the reducer: a simulated environment, properties, an explorer and planted faults.

Small scopes are explored exhaustively. The session controller itself imports nothing from here. docs/checking.md
describes what is explored and what is not.
"""
