"""Scenarios: the files that come with granitewell, and the parts that read, check, draw and print them.

It owns these parts; their one door is `granitewell.lab.scenario`. It must never be imported by anything that
serves.
"""
