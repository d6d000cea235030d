"""Where to reach other instances and which targets are owned here."""

from clementinedeal._model import Config, Target


class Directory:
    """Looks names up in the configuration in force."""

    def __init__(self, me: str) -> None:
        """Create an empty directory.

        :param me: name of this instance.
        """
        self.cfg: Config | None = None
        self._me = me
        self._learned_addresses: dict[str, str] = {}

    def take_config(self, cfg: Config) -> None:
        """Look up in this configuration from now on.

        :param cfg: the configuration in force.
        """
        self.cfg = cfg

    def add_address(self, instance: str, control: str) -> None:
        """Remember an instance that no held configuration names.

        :param instance: its name.
        :param control: its control address.
        """
        self._learned_addresses[instance] = control

    def control_address(self, instance: str) -> str | None:
        """Return the control address of an instance, None if unknown.

        :param instance: its name.
        """
        known = self.cfg.instances.get(instance) if self.cfg else None
        return known.control if known else self._learned_addresses.get(instance)

    def owned_target(self, name: str) -> Target | None:
        """Return a target of this instance, None if it is not one.

        :param name: the target's name.
        """
        target = self.cfg.targets.get(name) if self.cfg else None
        if target is None or target.instance != self._me:
            return None
        return target

    def owned_targets(self) -> tuple[Target, ...]:
        """Return the targets of this instance."""
        targets = self.cfg.targets.values() if self.cfg else ()
        return tuple(
            target for target in targets if target.instance == self._me
        )
