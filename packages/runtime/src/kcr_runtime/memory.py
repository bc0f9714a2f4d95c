"""Read the resident memory of a process, for its dump."""


def resident_kb(pid: int | None = None) -> int:
    """Return the resident memory of a process in KiB; 0 if unavailable.

    The default is the current process.
    """
    proc_id = 'self' if pid is None else str(pid)
    try:
        with open(f'/proc/{proc_id}/smaps_rollup', encoding='ascii') as lines:
            for line in lines:
                if line.startswith('Rss:'):
                    return int(line.split()[1])
    except OSError:
        return 0
    return 0
