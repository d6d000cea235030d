"""Records actions of the fleet view: events, status and peer addresses."""

from clementinedeal._directory import Directory
from clementinedeal._dispatch import Dispatcher
from clementinedeal._events import EventLog
from clementinedeal._status import StatusReporter
from clementinedeal._view_actions import (
    ConfigRejected,
    InstanceLeaving,
    InstanceLeft,
    PeerAddress,
)


class ViewRecorder:
    """Performs those actions of the view that only have to be recorded."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        directory: Directory,
        status: StatusReporter,
        events: EventLog,
    ) -> None:
        """Register for the actions.

        :param dispatcher: source of the actions.
        :param directory: receives control addresses of instances.
        :param status: shows a rejected version to operators.
        :param events: log for rejected versions and changes of instances.
        """
        self._directory = directory
        self._status = status
        self._events = events
        dispatcher.register(PeerAddress, self._add_address)
        dispatcher.register(ConfigRejected, self._record_rejected)
        dispatcher.register(InstanceLeaving, self._record_leaving)
        dispatcher.register(InstanceLeft, self._record_left)

    def _add_address(self, action: PeerAddress) -> None:
        self._directory.add_address(action.instance, action.control)

    def _record_rejected(self, action: ConfigRejected) -> None:
        self._status.rejection = f'{action.version}: {action.reason}'
        self._events.emit(
            'config-rejected',
            version=action.version,
            reason=action.reason,
        )

    def _record_leaving(self, action: InstanceLeaving) -> None:
        self._events.emit('instance-leaving', peer=action.instance)

    def _record_left(self, action: InstanceLeft) -> None:
        self._events.emit('instance-left', peer=action.instance)
