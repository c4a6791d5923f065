import {describe, expect, it} from 'vitest';
import {
  certainExpiryMs,
  type AssignerCommand,
  type AssignerOptions,
} from '@wisteriarun/core';
import {
  AssignerHarness,
  ENTRY_CLOCK_AHEAD_MS,
  dispatcherOf,
  entry,
  pick,
  testBundle,
  type CommandOf,
} from './assigner-harness.js';

/** Longest request deadline, as in `makeBundle` and the harness. */
const DEADLINE_MS = 10_000;
const oneServer = {checksGrants: false, servers: [{id: 's1'}]};
/**
 * Time from the end of a former assigner's term after which its permissions have
 * expired: it granted each within TERM_CONFIRM_MS (700) of a log read that did
 * not show a later term.
 */
const FORMER_PERMISSIONS_MS = 700 + certainExpiryMs();

function start(
  options: Parameters<typeof testBundle>[0] = oneServer,
): AssignerHarness {
  const harness = new AssignerHarness(testBundle(options));
  harness.run(1_500);
  return harness;
}

/**
 * Permissions that allow sending requests. Those with expiry 0 and no grants only
 * make an entry VM refuse permissions of former terms.
 */
const usablePermissions = (commands: readonly AssignerCommand[]) =>
  pick(commands, 'permission').filter(c => c.message.expiresAtMs > 0);

/** Latest expiry of the permissions sent so far, on the assigner's clock. */
const latestExpiryMs = (harness: AssignerHarness) =>
  Math.max(
    ...usablePermissions(harness.allCommands).map(c => c.message.expiresAtMs),
  ) - ENTRY_CLOCK_AHEAD_MS;

/** Loses the dispatcher of s1; returns both entry VMs. */
function loseDispatcher(harness: AssignerHarness): {old: string; next: string} {
  const old = dispatcherOf(harness, 's1')!;
  const next = old === 'a' ? 'b' : 'a';
  harness.entries = [entry(next)];
  harness.answeringVms.delete(old);
  return {old, next};
}

describe('servers that do not check grants', () => {
  it('get no leases; their dispatcher gets permissions instead', () => {
    const harness = start();
    expect(pick(harness.allCommands, 'lease')).toEqual([]);
    const {message} = usablePermissions(harness.run(350)).at(-1)!;
    // All 8 shards of the default bundle.
    expect(message.grants.length).toBe(8);
    // 1,200 is LEASE_TTL_MS.
    const limitMs = harness.nowMs + ENTRY_CLOCK_AHEAD_MS + 1_200;
    expect(message.expiresAtMs).toBeLessThanOrEqual(limitMs);
  });

  it('get another dispatcher as soon as the permission has expired', () => {
    const harness = start();
    const {next} = loseDispatcher(harness);
    const untilMs = latestExpiryMs(harness);
    harness.run(untilMs - harness.nowMs);
    expect(
      pick(harness.allCommands, 'permission').some(c => c.to === next),
    ).toBe(false);
    harness.run(200);
    expect(dispatcherOf(harness, 's1')).toBe(next);
  });

  it('keep shards while requests of a lost dispatcher may be running', () => {
    const harness = start({checksGrants: false});
    const {next} = loseDispatcher(harness);
    const untilMs = latestExpiryMs(harness) + DEADLINE_MS;
    harness.run(1_000);
    // The shards of a silent server are drained as soon as no request of the
    // lost dispatcher can be running.
    harness.silentServers.add('s1');
    const early = harness.run(untilMs - harness.nowMs);
    expect(pick(early, 'shard-drain')).toEqual([]);
    // A move planned too early would be abandoned (`dispatcher-lost`).
    const kinds = pick(early, 'event').map(c => c.event.kind);
    expect(kinds).not.toContain('move-abandoned');
    const drain = pick(harness.run(500), 'shard-drain')[0]!;
    expect([drain.to, drain.message.server]).toEqual([next, 's1']);
  });

  it('keep a shard if the dispatcher is lost after confirming its drain', () => {
    const harness = start({checksGrants: false});
    const leaveAtMs = harness.nowMs + 1_000;
    const body = testBundle({checksGrants: false, leaveAtMs});
    // The initial placement started the shards' cooldown (60 s).
    harness.run(60_000);
    harness.log.append({kind: 'bundle', body});
    const drain = pick(harness.run(500), 'shard-drain')[0]!;
    const {term, seq, server, service, shards} = drain.message;
    const {next} = loseDispatcher(harness);
    // The move cannot be appended while the log is down.
    harness.logAvailable = false;
    const kind = 'shard-drained';
    harness.assigner.onShardDrained({kind, term, seq, server, service, shards});
    harness.run(50);
    harness.logAvailable = true;
    const causes = pick(harness.allCommands, 'event').map(c => c.event.cause);
    expect(causes).toContain('dispatcher-lost');
    expect(pick(harness.run(5_000), 'append')).toEqual([]);
    expect(dispatcherOf(harness, 's1')).toBe(next);
  });

  it('keep a shard when the answer to a cancelled drain arrives late', () => {
    const servers = ['s1', 's2', 's3'].map(id => ({id}));
    const harness = start({checksGrants: false, servers});
    harness.run(60_000);
    harness.silentServers.add('s1');
    const first = pick(harness.run(1_500), 'shard-drain')[0]!;
    // The moves to s2 and s3 are abandoned, which cancels their drains, because a
    // silent server cannot receive shards.
    harness.silentServers.add('s2').add('s3');
    const cancels = pick(harness.run(500), 'shard-drain');
    expect(cancels.some(c => !c.message.drain)).toBe(true);
    harness.silentServers.delete('s2');
    harness.silentServers.delete('s3');
    const again = pick(harness.run(500), 'shard-drain').at(-1)!;
    expect(again.message).toMatchObject({server: 's1', drain: true});
    const answer = ({message}: CommandOf<'shard-drain'>, shards: number[]) => {
      const {term, seq, server, service} = message;
      const kind = 'shard-drained';
      const drained = {kind, term, seq, server, service, shards} as const;
      harness.assigner.onShardDrained({...drained, shards});
    };
    const {shards} = again.message;
    answer(first, shards);
    expect(pick(harness.run(500), 'append')).toEqual([]);
    answer(again, shards);
    expect(pick(harness.run(500), 'append').length).toBe(1);
  });

  it('are drained only by a dispatcher that acknowledged its permission', () => {
    const harness = start({checksGrants: false});
    // The initial placement started the shards' cooldown (60 s).
    harness.run(60_000);
    const {next} = loseDispatcher(harness);
    harness.answeringVms.clear();
    harness.run(DEADLINE_MS + 2_000);
    const body = testBundle({checksGrants: false, leaveAtMs: 1});
    harness.log.append({kind: 'bundle', body});
    expect(pick(harness.run(2_000), 'shard-drain')).toEqual([]);
    harness.answeringVms.add(next);
    expect(pick(harness.run(500), 'shard-drain')[0]!.to).toBe(next);
  });
});

describe('an assigner without the log, with servers that do not check grants', () => {
  /** Number of usable permissions sent from 1 s to 3 s after the log is lost. */
  const renewalsInOutage = (adoption: 'hold' | 'lapse', authorZone = 'z1') => {
    const options = testBundle({...oneServer, adoption});
    const harness = new AssignerHarness(options, false, {}, authorZone);
    harness.run(1_500);
    harness.logAvailable = harness.confirmsTerm = false;
    // From now on, the latest log read no longer confirms the term
    // (TERM_CONFIRM_MS, 700 ms).
    harness.run(1_000);
    return usablePermissions(harness.run(2_000)).length;
  };

  it('renews permissions with policy hold', () => {
    expect(renewalsInOutage('hold')).toBeGreaterThan(0);
  });

  it('renews nothing with policy lapse', () => {
    expect(renewalsInOutage('lapse')).toBe(0);
  });

  // The next assigner fences only the entry VMs of the zone, so an assigner on a
  // VM of another zone must not renew permissions without the log.
  it('renews nothing with policy hold if the assigner is on a VM of another zone', () => {
    expect(renewalsInOutage('hold', 'z2')).toBe(0);
  });
});

describe('a new assigner, with servers that do not check grants', () => {
  const begin = (options: Partial<AssignerOptions> = {}, isLapse = false) => {
    const adoption = isLapse ? 'lapse' : 'hold';
    return new AssignerHarness(
      testBundle({...oneServer, adoption}),
      true,
      options,
    );
  };

  it('appoints dispatchers once every entry VM of the zone refuses permissions of former terms', () => {
    const harness = begin();
    // `c` does not answer permissions by itself, see `answeringVms`.
    harness.knownEntryVms = ['a', 'b', 'c'];
    harness.run(5_000);
    const calls = pick(harness.allCommands, 'permission');
    expect(new Set(calls.map(c => c.to))).toEqual(new Set(['a', 'b', 'c']));
    expect(calls.every(c => c.message.grants.length === 0)).toBe(true);
    expect(usablePermissions(harness.allCommands)).toEqual([]);
    harness.acknowledge(calls.find(c => c.to === 'c')!);
    harness.run(500);
    expect(usablePermissions(harness.allCommands).length).toBeGreaterThan(0);
  });

  it('does not wait for an entry VM that the VM list has removed', () => {
    const harness = begin();
    harness.knownEntryVms = ['a', 'b', 'c'];
    harness.run(2_000);
    harness.removedEntryVms.add('c');
    expect(usablePermissions(harness.run(500)).length).toBeGreaterThan(0);
  });

  it('appoints no dispatcher before the VM list was read', () => {
    const harness = begin();
    harness.knownEntryVms = null;
    expect(usablePermissions(harness.run(20_000))).toEqual([]);
  });

  it('resends the permission to an entry VM that does not answer', () => {
    const harness = begin();
    harness.answeringVms.delete('b');
    const calls = pick(harness.run(1_000), 'permission');
    // At once, then every FENCE_RESEND_MS (300 ms).
    expect(calls.filter(c => c.to === 'b').length).toBe(4);
  });

  it('ignores answers to permissions of another term', () => {
    const harness = begin();
    harness.answeringVms.clear();
    const call = pick(harness.run(100), 'permission')[0]!;
    const other = (to: string): CommandOf<'permission'> => ({
      ...call,
      to,
      message: {...call.message, term: call.message.term - 1},
    });
    for (const vm of ['a', 'b']) harness.acknowledge(other(vm));
    expect(usablePermissions(harness.run(2_000))).toEqual([]);
  });

  it('waits until permissions of a former assigner on a VM of another zone have expired', () => {
    const harness = begin({foreignTermEndedAtMs: 1_000});
    const untilMs = 1_000 + FORMER_PERMISSIONS_MS;
    expect(usablePermissions(harness.run(untilMs - 20))).toEqual([]);
    expect(usablePermissions(harness.run(500)).length).toBeGreaterThan(0);
  });

  it('waits with policy lapse until permissions of former assigners have expired', () => {
    const harness = begin({}, true);
    expect(pick(harness.run(FORMER_PERMISSIONS_MS - 20), 'permission')).toEqual(
      [],
    );
    expect(usablePermissions(harness.run(200)).length).toBeGreaterThan(0);
  });

  it('does not wait in the first term of a zone', () => {
    const harness = new AssignerHarness(testBundle(oneServer), false);
    harness.knownEntryVms = null;
    expect(usablePermissions(harness.run(200)).length).toBeGreaterThan(0);
  });

  it('moves no shard until requests of former dispatchers must have ended', () => {
    const harness = new AssignerHarness(
      testBundle({checksGrants: false}),
      true,
    );
    harness.answeringVms.delete('b');
    harness.run(3_000);
    harness.answeringVms.add('b');
    const fencedMs = harness.nowMs;
    harness.run(1_000);
    harness.silentServers.add('s1');
    const early = harness.run(fencedMs + DEADLINE_MS - harness.nowMs);
    expect(pick(early, 'shard-drain')).toEqual([]);
    expect(pick(harness.run(1_000), 'shard-drain').length).toBe(1);
  });
});
