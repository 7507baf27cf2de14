"""An event loop in which time passes only while nothing is to be done."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar('_Result')


class _Selector(selectors.SelectSelector):
    """Lets the loop's clock pass instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.passed_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once, with the clock ahead by the time-out."""
        if timeout is None:
            raise RuntimeError('nothing is scheduled: the test would hang')
        self.passed_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a clock of its own."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the time that has passed, from an arbitrary start."""
        return 1_000 + self._virtual.passed_s


def now_s() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()


def run_virtual(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
