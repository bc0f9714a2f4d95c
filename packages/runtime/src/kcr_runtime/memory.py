"""Read the resident memory of a process."""


def resident_kb(pid: int | None = None) -> int:
    """Return the resident memory of a process in KiB; 0 if not known.

    Without a process id, it is the memory of this process.
    """
    owner = 'self' if pid is None else str(pid)
    try:
        with open(f'/proc/{owner}/smaps_rollup', encoding='ascii') as lines:
            for line in lines:
                if line.startswith('Rss:'):
                    return int(line.split()[1])
    except OSError:
        return 0
    return 0
