"""Check whether the store takes the record of a job.

A record of starts, ends or tasks can be split, but the job as submitted is in
one record. A job whose record is too large must be refused, as its append
would be refused by the store however often it is repeated.
"""

from kcr_jobs import records
from kcr_jobs import types
from kcr_scheduler.work import codec

# Part of a record that is left for the id of the batch and for the fields of
# other kinds of records with the same job.
RESERVE_BYTES = 1024
# Bounds of the encoded size without compression, in bytes: of a job without
# its texts, of a step without its texts, of a step's index, of a character.
JOB_BYTES = 1024
STEP_BYTES = 512
INDEX_BYTES = 5
CHAR_BYTES = 4


def find_excess(spec: types.JobSpec, max_record_bytes: int) -> int:
    """Return the size of the record of a job if it is too large; else 0."""
    limit = max_record_bytes - RESERVE_BYTES
    if _infer_bound(spec) <= limit:
        # Most jobs are small; they are not encoded a second time.
        return 0
    size = len(codec.encode('', [records.Accepted(spec, 0)]))
    return size if size > limit else 0


def _infer_bound(spec: types.JobSpec) -> int:
    """Return a size that the encoded job does not exceed."""
    queue = spec.queue
    chars = len(spec.payload) + len(spec.job_id)
    chars += len(queue.name) + len(queue.service)
    chars += sum(2 + len(name) for name in queue.allowed_regions)
    indexes = 0
    for step in spec.steps:
        chars += len(step.label) + len(step.near_rack) + len(step.image)
        indexes += len(step.after)
    return (
        JOB_BYTES
        + len(spec.steps) * STEP_BYTES
        + indexes * INDEX_BYTES
        + chars * CHAR_BYTES
    )
