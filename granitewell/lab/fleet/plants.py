"""Planted defects. (placeholder until the next commit)"""
PLANTS: dict[str, str] = {}
