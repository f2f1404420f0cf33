"""State of a node, built from typed events as immutable snapshots."""
