"""Experiments: variants x scenarios x seeds, paired by seed, kept in SQLite, told in one page.

It owns the plan, the runs' results and the report. It must never judge a day or decide in one: the judge and
the shells do.
"""
