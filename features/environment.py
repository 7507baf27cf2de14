"""Behave hooks."""

from behave.runner import Context
from hypothesis import settings

settings.register_profile('scenarios', database=None)
settings.load_profile('scenarios')


def before_scenario(context: Context, scenario: object) -> None:
    """Clear the requests of the previous scenario."""
    context.last = []
