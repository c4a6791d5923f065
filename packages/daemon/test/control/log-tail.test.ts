import {expect, it} from 'vitest';
import {LogTail} from '../../src/control/log-tail.js';
import {StateReplica} from '../../src/control/state-replica.js';
import {FakeLog} from '../../../log/test/fake-log.js';

// Guards against a VM that still counts the log as available although the log
// has expired the next record to read.
it('reports the log as unavailable once its offset has expired', async () => {
  const log = await FakeLog.start();
  const tail = new LogTail({
    endpoint: log.endpoint,
    stream: 'd',
    trust: [],
    replica: new StateReplica([]),
    onAvailability: () => {},
  });
  await tail.start();
  await expect.poll(() => tail.isAvailable).toBe(true);
  const expired = JSON.stringify({first: 9});
  log.queuedFaults.GET.push({kind: 'answer', status: 410, body: expired});
  // The requests of the recovery get no answer: it neither succeeds nor fails.
  for (let i = 0; i < 50; i++) {
    log.queuedFaults.GET.push({kind: 'silent', applies: false});
  }
  log.append(null);
  await expect.poll(() => tail.isAvailable, {timeout: 800}).toBe(false);
  expect(tail.problem?.kind).toBe('log-expired');
  await tail.close();
  await log.close();
});
