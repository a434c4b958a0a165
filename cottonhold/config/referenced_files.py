"""Files that a configuration refers to: secrets, certificates and keys."""

from __future__ import annotations

from pathlib import Path

from cottonhold.config.problems import FieldPath, ReportProblem
from cottonhold.config.schema import TlsConfig

MAX_SECRET_CHARS = 4096


class ReferencedFiles:
    """Reads the files that a configuration names relative to its own folder."""

    def __init__(self, folder: Path, report: ReportProblem) -> None:
        self.folder, self.report = folder, report

    def read_secret(self, name: str, path: FieldPath) -> str:
        """The secret in a file; empty if no file is named, or after a problem at `path` was reported."""
        if not name:
            return ""
        try:
            with (self.folder / name).open(encoding="ascii") as file:
                text = file.read(MAX_SECRET_CHARS).strip()
        except (OSError, UnicodeDecodeError) as error:
            self.report(path, f"can't be read: {getattr(error, 'strerror', None) or 'not plain text'}")
            return ""
        if not text or any(ord(c) < 33 for c in text):
            self.report(path, "holds no token, or more than one word")
        return text

    def resolve_tls(self, tls: TlsConfig | None, path: FieldPath) -> TlsConfig | None:
        """The TLS section of the section at `path`, with absolute file names. A missing file is reported now
        and not at the first connection.
        """
        if tls is None:
            return None
        return TlsConfig(
            ca_file=self._resolve(tls.ca_file, (*path, "tls", "ca_file")),
            cert_file=self._resolve(tls.cert_file, (*path, "tls", "cert_file")),
            key_file=self._resolve(tls.key_file, (*path, "tls", "key_file")),
            server_name=tls.server_name,
        )

    def _resolve(self, name: str, path: FieldPath) -> str:
        if not name:
            return ""
        if not (self.folder / name).is_file():
            self.report(path, f"there is no file '{name}'")
        return str(self.folder / name)
