"""Copy of the newest configuration for instances that start beside a restored store."""

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from carobladder.eras.monitor import EraMonitor
from carobladder.eras.ownedrecords import OwnedRecord, RecordSpec
from carobladder.fleet import KeyedRecord

__all__ = ["CONFIGURATION_BACKUP", "ConfigurationBackup"]

CONFIGURATION_BACKUP = RecordSpec(
    "configuration-backup", ring_key=1 << 62, retry_seconds=0.3
)
_COMPRESSION_LEVEL = 1
# Limit on the decompressed size, so that a few bytes cannot exhaust the memory.
_MAX_CONFIGURATION_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class _Backup:
    """Configuration of the operator that an instance knew as ``era`` began."""

    era: int
    version: int
    value: bytes


class ConfigurationBackup:
    """Hands the newest configuration on while a restored store may lack it.

    An instance that starts then knows the copy's configuration only, and would accept
    the keys that a lost one has revoked.
    """

    def __init__(
        self,
        eras: EraMonitor,
        record: OwnedRecord,
        find_version: Callable[[], int],
        apply_value: Callable[[bytes], None],
    ) -> None:
        self._eras = eras
        self._record = record
        self._find_version = find_version
        self._apply_value = apply_value
        self._value: bytes | None = None
        self._pending: _Backup | None = None
        self._wake_up = asyncio.Event()
        eras.add_listener(self._wake_up.set)
        eras.add_listener(self._apply_pending)

    def note_applied(self, value: bytes) -> None:
        """Note a configuration record of the operator after it was applied."""
        self._value = value
        self._apply_pending()

    def apply_record(self, record: KeyedRecord) -> bool:
        """Apply a record of the store; return whether it is such a copy."""
        if record.key != self._record.key:
            return False
        self._pending = _decode(record.value or b"")
        self._apply_pending()
        return True

    async def run(self) -> None:
        """Write the copy each time that the store was restored, until cancelled."""
        while True:
            await self._wake_up.wait()
            self._wake_up.clear()
            era = self._eras.era
            if era is not None and self._value is not None and self._record.is_own:
                backup = _encode(era, self._find_version(), self._value)
                await self._record.write(backup, partial(self._is_needed, era))

    def _apply_pending(self) -> None:
        """Apply the copy if it is newer than the configuration of this era."""
        backup, version = self._pending, self._find_version()
        # Without a configuration of the store, what is in force is not known at all.
        if backup is None or not version:
            return
        if self._eras.era is not None and backup.era > self._eras.era:
            return
        self._pending = None
        if backup.era != self._eras.era or self._eras.is_settled(backup.era):
            return
        if backup.version > version:
            self._value = backup.value
            self._apply_value(backup.value)

    def _is_needed(self, era: int) -> bool:
        return era == self._eras.era and not self._eras.is_settled(era)


def _encode(era: int, version: int, value: bytes) -> bytes:
    return f"{era} {version} ".encode() + zlib.compress(value, _COMPRESSION_LEVEL)


def _decode(value: bytes) -> _Backup | None:
    """Return the copy in a record, or None if it can't be read."""
    era, _, rest = value.partition(b" ")
    version, _, compressed = rest.partition(b" ")
    if not (era.isdigit() and version.isdigit()):
        return None
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, _MAX_CONFIGURATION_BYTES)
    except zlib.error:
        return None
    if not decompressor.eof:
        return None
    return _Backup(int(era), int(version), content)
