"""Write what a case sends, gets answered and runs to record.txt."""

import pathlib
import threading
import time


class Record:
    """Append lines with the time since the start of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._began_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def write(self, *parts: object) -> None:
        """Write one line."""
        text = ' '.join(str(part) for part in parts)
        with self._lock:
            self._file.write(f'{self.now():8.3f} {text}\n')
            self._file.flush()

    def say(self, *parts: object) -> None:
        """Write one line and print it."""
        self.write(*parts)
        print(f'{self.now():8.3f}', *parts, flush=True)
