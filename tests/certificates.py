"""Creates a certificate authority and one certificate for the hosts of a test."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable

import trustme


def write_certificates(folder: pathlib.Path, hosts: Iterable[str]) -> dict[str, str]:
    """Write PEM files; return their paths by the names of the TLS settings."""
    authority = trustme.CA()
    certificate = authority.issue_cert(*hosts)
    files = {
        "cert_file": str(folder / "node.crt"),
        "key_file": str(folder / "node.key"),
        "ca_file": str(folder / "ca.crt"),
    }
    chain = b"".join(pem.bytes() for pem in certificate.cert_chain_pems)
    pathlib.Path(files["cert_file"]).write_bytes(chain)
    pathlib.Path(files["key_file"]).write_bytes(certificate.private_key_pem.bytes())
    authority.cert_pem.write_to_path(files["ca_file"])
    return files
