"""Converts TLS settings to the form that gRPC listeners and channels need."""

from __future__ import annotations

from gooseberrydale.connection.rpc import TlsFiles
from gooseberrydale.process.cfg import TlsCfg


def tls_files(cfg: TlsCfg) -> TlsFiles | None:
    """Return the files for mutual TLS; None for plain TCP."""
    if not cfg.cert_file:
        return None
    return TlsFiles(cfg.cert_file, cfg.key_file, cfg.ca_file)
