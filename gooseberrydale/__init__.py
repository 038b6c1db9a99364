"""Router for language-model traffic with long shared prompts.

Packages are divided by the lifetime of their objects: ``request`` for one request,
``connection`` for one connection, ``version`` for one version of the configuration,
the weights or the log, and ``process`` for the whole process.
"""

__version__ = "0.1.0"
