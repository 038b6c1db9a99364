"""From the TLS settings to what the gRPC listeners and channels take."""

from __future__ import annotations

from gooseberrydale.connection.rpc import TlsFiles
from gooseberrydale.process.cfg import TlsCfg


def tls_files(cfg: TlsCfg) -> TlsFiles | None:
    """The files of mutual TLS; None for plain TCP."""
    if not cfg.cert_file:
        return None
    return TlsFiles(cfg.cert_file, cfg.key_file, cfg.ca_file)
