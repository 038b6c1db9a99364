"""Tests with crowds of clients that misbehave, each run apart from other load.

They check only what does not depend on the speed of the machine: that processes live,
that their memory and descriptors stay bounded, and that ordinary callers get answers.
"""
