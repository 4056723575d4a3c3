"""What instances tell each other about the holder of the duties."""

from collections.abc import Callable

from carobladder.fleet import DutyNotice, UsageReceipt, UsageReport

__all__ = ["DutySharing"]

DutyMessage = UsageReport | UsageReceipt


class DutySharing:
    """Newest known holder of the duties, and the messages to and from it.

    Without handlers, an instance only passes on what it knows of the holder.
    """

    def __init__(self) -> None:
        self.notice: DutyNotice | None = None
        self.on_notice: Callable[[DutyNotice], None] = lambda notice: None
        self.on_report: Callable[[UsageReport, str], None] = lambda report, name: None
        self.on_receipt: Callable[[UsageReceipt, str], None] = lambda receipt, name: (
            None
        )
        self._send: Callable[[DutyMessage, str], None] = lambda message, name: None

    def set_sender(self, send: Callable[[DutyMessage, str], None]) -> None:
        """Set the function that sends a message to an instance by its name."""
        self._send = send

    def send(self, message: DutyMessage, name: str) -> None:
        """Send a message to an instance."""
        self._send(message, name)

    def take_notice(self, notice: DutyNotice | None) -> None:
        """Apply a notice if it is newer than the known one."""
        if notice is None:
            return
        if self.notice is None or _rank(notice) > _rank(self.notice):
            self.notice = notice
            self.on_notice(notice)

    def handle_message(self, message: DutyMessage, name: str) -> None:
        """Handle a message of an instance."""
        if isinstance(message, UsageReport):
            self.on_report(message, name)
            return
        self.take_notice(message.duty)
        self.on_receipt(message, name)


def _rank(notice: DutyNotice) -> tuple[int, bool, int]:
    return notice.token, not notice.holder, notice.recorded
