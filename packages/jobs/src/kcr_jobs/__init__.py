"""Decide when and on which runner the tasks of jobs run; do no I/O."""
