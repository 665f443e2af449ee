"""Errors that end the tool with one clear line."""


class ExperimentError(Exception):
    """What was asked for cannot be done; the text says why."""
