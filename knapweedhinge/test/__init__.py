"""Simulated engines, services and platforms for tests and the demo.

A stand-in speaks the real protocol over HTTP on the loopback interface. Tests make it
misbehave through its fault switches and read from its call log what it ran.

The modules ``platform``, ``engine`` and ``service`` stand in for the services that
``knapweedhinge.backing`` calls and for the endpoints of nodes that use them.
``rowstore`` and ``replica`` speak the protocol of the users' platform, to which
``knapweedhinge.platform`` adapts.
"""
