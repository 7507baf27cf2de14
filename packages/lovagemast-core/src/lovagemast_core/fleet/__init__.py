"""The fleet as operators describe it: documents and templates."""
