"""Tests of the configuration that instances hand on beside a restored store."""

import asyncio
import unittest

from carobladder.clock import VirtualClock
from carobladder.eras import (
    CONFIGURATION_BACKUP,
    ConfigurationBackup,
    EraMonitor,
    OwnedRecord,
)
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import KeyedRecord, PeerDirectory

ROUNDS = 5


class FakeTopic:
    """Topic that keeps what is written, and refuses the first writes."""

    def __init__(self, refusals: int = 0) -> None:
        self.refusals = refusals
        self.records: list[KeyedRecord] = []

    async def write(self, key: str, value: bytes) -> None:
        """Keep a record."""
        if self.refusals:
            self.refusals -= 1
            raise LogUnavailableError("refused")
        self.records.append(KeyedRecord(len(self.records), key, value))


class Instance:
    """Instance with a backup, whose configurations are versions as text."""

    def __init__(self, topic: FakeTopic, version: int, era: int | None) -> None:
        self.clock = VirtualClock()
        self.version = version
        self.eras = EraMonitor()
        self.eras.note(era)
        peers = PeerDirectory("n1", "127.0.0.1:1", self.clock)
        self.backup = ConfigurationBackup(
            self.eras,
            OwnedRecord(CONFIGURATION_BACKUP, topic, peers, self.clock),
            lambda: self.version,
            self._apply,
        )
        if version:
            self.backup.note_applied(str(version).encode())

    def _apply(self, value: bytes) -> None:
        self.version = int(value)

    def read_configuration(self, version: int) -> None:
        """Apply a record of the operator."""
        self.version = version
        self.backup.note_applied(str(version).encode())


class ConfigurationBackupTest(unittest.IsolatedAsyncioTestCase):
    """Guard against keys of a copy that an instance accepts as it starts in a drill."""

    async def write_backup(self, refusals: int = 0) -> KeyedRecord:
        """Return what an instance that knows version 9 writes as era 2 begins."""
        topic = FakeTopic(refusals)
        instance = Instance(topic, 9, 1)
        task = asyncio.create_task(instance.backup.run())
        await asyncio.sleep(0)
        instance.eras.note(2)
        for _ in range(ROUNDS * (refusals + 1)):
            await asyncio.sleep(0)
            instance.clock.advance(0.3)
        task.cancel()
        (record,) = topic.records
        return record

    async def test_instance_that_starts_takes_the_newer_configuration(self):
        record = await self.write_backup()
        starter = Instance(FakeTopic(), 4, 2)
        self.assertTrue(starter.backup.apply_record(record))
        self.assertEqual(starter.version, 9)

    async def test_backup_that_is_read_first_waits_for_the_store(self):
        record = await self.write_backup()
        starter = Instance(FakeTopic(), 0, None)
        starter.backup.apply_record(record)
        self.assertEqual(starter.version, 0)
        starter.eras.note(2)
        starter.read_configuration(4)
        self.assertEqual(starter.version, 9)

    async def test_write_that_the_store_refuses_is_repeated(self):
        record = await self.write_backup(refusals=2)
        self.assertTrue(record.value.startswith(b"2 9 "))

    # Guards against an outdated copy that is applied long after the drill.
    async def test_backup_of_a_settled_or_another_era_is_ignored(self):
        record = await self.write_backup()
        settled = Instance(FakeTopic(), 4, 2)
        settled.eras.note_settled(2)
        later = Instance(FakeTopic(), 4, 3)
        for instance in (settled, later):
            instance.backup.apply_record(record)
            self.assertEqual(instance.version, 4)

    async def test_older_and_unreadable_backups_change_nothing(self):
        record = await self.write_backup()
        instance = Instance(FakeTopic(), 12, 2)
        instance.backup.apply_record(record)
        for value in (None, b"", b"2 99 x", b"x 99 " + record.value, b"\xff 1 "):
            self.assertTrue(
                instance.backup.apply_record(KeyedRecord(1, record.key, value))
            )
        self.assertEqual(instance.version, 12)

    async def test_other_records_are_left_to_others(self):
        instance = Instance(FakeTopic(), 4, 2)
        self.assertFalse(instance.backup.apply_record(KeyedRecord(1, "n2", b"")))
