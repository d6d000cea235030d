"""A fleet of daemons on a platform that lists targets and declarations."""
