"""Views of the fleet that are built from the items of the store."""
