"""Stand-ins, load tool, decision bench and demo for clementinedeal."""
