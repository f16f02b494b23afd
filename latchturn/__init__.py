"""latchturn: a session controller and its decisions."""

from .brain import Controller

__all__ = ["Controller"]
