"""A deregistration that was held up takes the next lifetime out of use."""

import pathlib
import time

import stand3

JOB = '00000000000000c1'
BEFORE = '00000000000000c0'
STEP = {'Count': 4, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 300, 'Constraints': 'b'}
NAME = 'a3'


class Runner(stand3.Runner):
    state = 'ready'

    def make_heartbeat(self, seq):
        body = super().make_heartbeat(seq)
        body['State'] = self.state
        if self.state == 'draining':
            body['RemainingMs'] = 1000
        return body


class Case(stand3.Site):
    def play(self, trouble):
        if not self.submit(BEFORE, [STEP], '0.3'):
            return 2
        if not self.wait_state(BEFORE, 'completed', 15):
            return 2
        runner = self.runners[NAME]
        path = f'/-/Instances.Deregister/{runner.runner_id}'
        # The runner leaves, and ends; a new lifetime comes under its id.
        self.paused_beats.add(NAME)
        time.sleep(0.1)
        runner.state = 'draining'
        self.beat(NAME)
        # DrainMs.
        time.sleep(3.1)
        if not trouble:
            status = stand3.post(self.controls[NAME], path, None)
            self.record('deregistration', NAME, '->', status)
        runner.start_incarnation()
        runner.state = 'ready'
        self.seqs[NAME] = 0
        self.record('new lifetime of', runner.runner_id)
        self.beat(NAME)
        self.paused_beats.discard(NAME)
        if trouble:
            time.sleep(1.0)
            status = stand3.post(self.controls[NAME], path, None)
            self.record('deregistration that was held up', NAME, '->', status)
        time.sleep(4.0)
        if not self.submit(JOB, [STEP], '0.3'):
            return 2
        accepted = time.monotonic()
        while time.monotonic() < accepted + stand3.FINISH_S + 3.0:
            if self.count_starts(JOB):
                break
            time.sleep(0.1)
        started = self.count_starts(JOB)
        state = self.state(JOB)
        done = self.wait_state(JOB, 'completed', 10) if started else False
        self.record('starts', started, 'state', state, 'completed', done)
        if done:
            return 0
        return 1 if not started else 2


stand3.run(
    '12', pathlib.Path(__file__).parent / 'record.txt',
    lambda record: Case(
        record, [['a', 'r1-1'], ['a', 'r1-2'], ['b', 'r1-3']],
        runner_class=Runner,
    ),
)  # fmt: skip
