"""Defects planted in the node, one at a time, to see what catches them.

It owns the catalogue of defects, how one is planted in a copy of the sources, and when one counts as caught.
It must never change the sources themselves, and must never be told more of a run than the judge reports or
the recorded exchanges show.
"""
