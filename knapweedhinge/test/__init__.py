"""Simulated engines, services and platforms for tests and the demo.

A stand-in speaks the real protocol over HTTP on the loopback interface. Tests make it
misbehave through its fault switches and read from its call log what it ran.
"""
