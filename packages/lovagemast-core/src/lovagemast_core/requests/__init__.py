"""A request from its arrival through the filters to its answer."""
