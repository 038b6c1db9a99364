"""Router for language-model traffic with long shared prompts.

Packages follow life span: ``request`` holds what lives for one request,
``connection`` what lives for one connection, ``version`` what lives for one
version of configuration, weights or log, and ``process`` what lives as long as
the process.
"""

__version__ = "0.1.0"
