"""latchturn: a session controller for telephone calls and its decision module."""

from .brain import Controller

__all__ = ["Controller"]
