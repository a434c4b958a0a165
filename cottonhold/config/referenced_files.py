"""Files that a configuration file names: secrets, certificates and keys."""

from __future__ import annotations

from pathlib import Path

from cottonhold.config.problems import FieldPath, ReportProblem
from cottonhold.config.schema import TlsConfig

MAX_SECRET_CHARS = 4096


class ReferencedFiles:
    """Reads files that are named relative to the configuration file's folder, and reports problems."""

    def __init__(self, folder: Path, report: ReportProblem) -> None:
        self.folder, self.report = folder, report

    def read_secret(self, name: str, path: FieldPath) -> str:
        """Read a secret from a file.

        Args:
            name: Name of the file; may be empty.
            path: Path of the field that names the file, for reporting problems.

        Returns:
            The secret; empty if no file is named or the file can't be read.
        """
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
        """Return a copy of a TLS section with absolute file names.

        A missing file is reported here, instead of failing at the first connection.

        Args:
            tls: The TLS section, or None.
            path: Path of the section that contains it, for reporting problems.
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
