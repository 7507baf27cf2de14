"""Configuration of the fleet: documents, templates and their schema."""
