"""The command line, `latchturn` or `python -m latchturn.cli`. The program that serves calls imports nothing of it."""
