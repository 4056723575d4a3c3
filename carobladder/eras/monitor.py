"""Era of the platform's store, which rises when it is restored from a copy."""

from collections.abc import Callable

__all__ = ["EraMonitor"]


class EraMonitor:
    """Newest era of the store that this instance has heard of, None before any.

    Offsets, proofs and memberships are valid in one era only. An instance hears of a
    new one by an answer of the store or by another instance, whichever comes first.
    An era is settled once what the store had lost has been written again;
    ``settled_era`` is the newest one that is known to be.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.settled_era: int | None = None
        self._listeners: list[Callable[[], None]] = []
        self._settled_listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` each time that the store has been restored."""
        self._listeners.append(listener)

    def add_settled_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` each time that a newer era is known to be settled."""
        self._settled_listeners.append(listener)

    def note_settled(self, era: int) -> None:
        """Record that what the store had lost before this era is back."""
        if self.settled_era is not None and era <= self.settled_era:
            return
        self.settled_era = era
        for listener in self._settled_listeners:
            listener()

    def is_settled(self, era: int | None) -> bool:
        """Return whether an era is settled; a store without eras loses nothing."""
        if era is None:
            return True
        return self.settled_era is not None and era <= self.settled_era

    def note(self, era: int | None) -> None:
        """Record the era of an answer or of a message, None if it names none."""
        if era is None or (self.era is not None and era <= self.era):
            return
        is_restored = self.era is not None
        self.era = era
        if is_restored:
            for listener in self._listeners:
                listener()

    def is_outdated(self, era: int | None) -> bool:
        """Return whether an answer or a message is of an earlier era."""
        return era is not None and self.era is not None and era < self.era
