"""latchturn: the decisions of a call controller."""

from .brain import Controller

__all__ = ["Controller"]
