"""Plays variants of the system against a base on the same days and seeds."""
