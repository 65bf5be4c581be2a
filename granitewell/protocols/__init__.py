"""Encoding and decoding of messages, one package per protocol. No I/O and no clock."""
