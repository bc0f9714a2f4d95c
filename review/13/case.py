"""A cancel of an accepted job whose route was removed is never carried out."""

import copy
import pathlib
import time

import stand3

JOB = '00000000000000d1'
# 48 cores of three runners start 12 tasks of 2 s at a time.
STEP = {'Count': 360, 'Cpu': 4000, 'MemMb': 256, 'EstimateMs': 2000}
CONFIG_APPLY_S, ACK_S, CANCEL_S = 3.0, 5.0, 3.0


class Case(stand3.Site):
    def publish(self, version, keep):
        """Publish a version that removes the job's route, or keeps it."""
        config = copy.deepcopy(stand3.CONFIG)
        config['Version'] = version
        other = {**config['Routes'][0], 'Name': 'o', 'PathPrefix': '/other/'}
        config['Routes'].append(other)
        if not keep:
            del config['Routes'][0]
        self.store.put('keyed.op', 'config', config)
        self.record('configuration', version, [r['Name'] for r in config['Routes']])

    def play(self, trouble):
        # All agents have found their runners and the owner by then.
        time.sleep(6.0)
        if not self.submit(JOB, [STEP], '2'):
            return 2
        time.sleep(2.0)
        if not self.count_starts(JOB):
            return 2
        self.publish(9, keep=not trouble)
        time.sleep(CONFIG_APPLY_S + 1.0)
        asked, confirmed = time.monotonic(), None
        # The client repeats its cancel at each scheduler until it is confirmed.
        while confirmed is None and time.monotonic() < asked + ACK_S + CANCEL_S:
            for front in self.fronts:
                status, _ = self.call('DELETE', f'/q/{JOB}', None, front)
                if 200 <= status < 300 or status == 410:
                    confirmed = time.monotonic()
                    break
            time.sleep(0.5)
        due = (confirmed or asked + ACK_S) + CANCEL_S
        time.sleep(max(0.0, due + 10.0 - time.monotonic()))
        late = sum(
            at > due
            for runner in self.runners.values()
            for task, starts in runner.starts.items()
            if task.startswith(JOB)
            for at, _ in starts
        )
        self.record('confirmed', confirmed is not None, 'starts', self.count_starts(JOB), 'too late', late)
        return 1 if late else 0


stand3.run(
    '13', pathlib.Path(__file__).parent / 'record.txt',
    lambda record: Case(
        record, [['a', 'r1-1'], ['a', 'r1-2'], ['a', 'r1-3']]
    ),
)  # fmt: skip
