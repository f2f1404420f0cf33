"""Harness of the review's scripts: real nodes, stand-ins and a client on loopback."""
