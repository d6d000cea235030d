"""Looks up control addresses of instances, and the targets owned here."""

from clementinedeal._model import Config, Target


class Directory:
    """Looks up instances and targets in the configuration in force.

    Control addresses of instances that the configuration does not name are
    learned from their messages. ``cfg`` is None until a configuration is in
    force.
    """

    def __init__(self, me: str) -> None:
        """Create an empty directory.

        :param me: name of this instance.
        """
        self.cfg: Config | None = None
        self._me = me
        self._learned_addresses: dict[str, str] = {}

    def take_config(self, cfg: Config) -> None:
        """Use another configuration from now on.

        :param cfg: the configuration in force.
        """
        self.cfg = cfg

    def add_address(self, instance: str, control: str) -> None:
        """Remember the address of an instance that the configuration lacks.

        :param instance: name of the instance.
        :param control: its control address, ``ip:port``.
        """
        self._learned_addresses[instance] = control

    def control_address(self, instance: str) -> str | None:
        """Return the control address of an instance, None if unknown.

        :param instance: name of the instance.
        """
        known = self.cfg.instances.get(instance) if self.cfg else None
        return known.control if known else self._learned_addresses.get(instance)

    def owned_target(self, name: str) -> Target | None:
        """Return a target that this instance owns, None for any other name.

        :param name: name of the target.
        """
        target = self.cfg.targets.get(name) if self.cfg else None
        if target is None or target.instance != self._me:
            return None
        return target

    def owned_targets(self) -> tuple[Target, ...]:
        """Return the targets that this instance owns."""
        targets = self.cfg.targets.values() if self.cfg else ()
        return tuple(
            target for target in targets if target.instance == self._me
        )
