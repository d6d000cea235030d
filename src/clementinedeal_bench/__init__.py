"""Test bench of clementinedeal.

Holds stand-ins for targets and for the platform, a fleet launcher, a load
caller, benchmarks of the decision code, and a demo that uses them all.
"""
