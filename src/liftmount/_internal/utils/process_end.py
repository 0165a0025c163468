"""The last log line of a process: what it waited for since it stopped.

A process that ends late has waited in its loop (``since_stop_ms`` of the
line, and the tasks named in the line before), for a processor
(``preempted``), for memory (``major_faults``) or for the reader of its log
(``flush_ms``).
"""

import resource

from liftmount._internal.clock import Clock
from liftmount._internal.utils.structured import StructuredLog

MS_PER_SECOND = 1_000


def log_end(log: StructuredLog, clock: Clock) -> None:
    """Write the last line, with the figures of the whole process."""
    started_ms = clock.now_ms()
    log.flush()
    flushed_ms = clock.now_ms()
    usage = resource.getrusage(resource.RUSAGE_SELF)
    log.write(
        'process',
        'end',
        flush_ms=flushed_ms - started_ms,
        processor_ms=round((usage.ru_utime + usage.ru_stime) * MS_PER_SECOND),
        preempted=usage.ru_nivcsw,
        major_faults=usage.ru_majflt,
    )
    log.flush()
