"""A deregistration that was held up takes the next lifetime out of use."""

import pathlib
import socket
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
        request = (
            f'POST /-/Instances.Deregister/{runner.runner_id} HTTP/1.1\r\n'
            f'Host: {self.controls[NAME]}\r\nContent-Length: 0\r\n\r\n'
        ).encode()
        # The runner leaves: it pings as draining for DrainMs.
        runner.state = 'draining'
        self.beat(NAME)
        time.sleep(3.1)
        # It deregisters itself and ends. In trouble the path to the agent is
        # cut once the channel is open; the runner gets no confirmation, and
        # ends anyway some seconds later.
        self.paused_beats.add(NAME)
        host, _, port = self.controls[NAME].partition(':')
        with socket.create_connection((host, int(port)), 2.0) as channel:
            if trouble:
                self.record('deregistration', NAME, 'is held up')
                time.sleep(3.0)
            else:
                channel.sendall(request)
                self.record('deregistration', NAME, '->', channel.recv(64)[:15])
            runner.start_incarnation()
            runner.state = 'ready'
            self.seqs[NAME] = 0
            self.record('new lifetime of', runner.runner_id)
            self.beat(NAME)
            self.paused_beats.discard(NAME)
            if trouble:
                # The path is back; what was held up is sent again later.
                time.sleep(1.0)
                channel.sendall(request)
                self.record(
                    'deregistration that was held up', NAME, '->',
                    channel.recv(64)[:15],
                )  # fmt: skip
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
