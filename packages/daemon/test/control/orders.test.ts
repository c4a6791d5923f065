import {beforeEach, describe, expect, it} from 'vitest';
import type {DispatchRow, PeerMessage} from '@wisteriarun/core';
import {DispatchDirectory} from '../../src/control/dispatch-directory.js';
import {PeerMessageHandler} from '../../src/control/peer-message-handler.js';

const firstFence = {term: 1, seq: 1};
const row = (
  server: string,
  fence = firstFence,
  dispatcher = 'me',
): DispatchRow => ({
  server,
  dispatcher,
  fence,
  replaces: null,
});
const table = (
  term: number,
  version: number,
  ...rows: DispatchRow[]
): PeerMessage => ({kind: 'dispatch-table', zone: 'z', term, version, rows});
const stop = (term: number, fence = firstFence): PeerMessage => {
  const kind = 'dispatch-stop';
  return {kind, zone: 'z', term, server: 'x', fence, next: 'n'};
};

let term: number;
let epochs: number[];
let seq: number;
let drainingByShard: Map<number, boolean>;
let finish: () => void;
let fences: Map<string, unknown>;
let sent: PeerMessage[];
let messageHandler: PeerMessageHandler;
const flush = () => new Promise(resolve => setImmediate(resolve));
const handle = (message: PeerMessage) => messageHandler.handle('a', message);
const drain = (shouldDrain: boolean, inTerm = term) =>
  handle({
    kind: 'shard-drain',
    term: inTerm,
    server: 'x',
    service: 's',
    shards: [0, 1],
    drain: shouldDrain,
    offset: 5,
    seq: shouldDrain ? (seq += 1) : seq,
  });
const answers = () =>
  sent.map(message => ('shards' in message ? message.shards : message.kind));

beforeEach(() => {
  term = 1;
  epochs = [5, 5];
  seq = 0;
  drainingByShard = new Map();
  finish = () => {};
  fences = new Map();
  sent = [];
  messageHandler = new PeerMessageHandler({
    vm: 'me',
    clock: {monotonicMs: () => 0, wallMs: () => 0},
    replica: {
      get state() {
        const rows = epochs.map(epoch => ({epoch}));
        const services = new Map([['s', {rows}]]);
        return {terms: new Map([['z', {term}]]), services};
      },
    },
    directory: new DispatchDirectory(),
    routes: {
      server: () => ({zone: 'z'}),
      onChanged: () => {},
    },
    dispatcher: {
      setDispatch: (server: string, fence: unknown) =>
        fences.set(server, fence),
      stop: async () => [],
      onRoutesChanged: () => [],
      setDrain: (
        _server: string,
        _service: string,
        shards: number[],
        isDraining: boolean,
      ) => {
        for (const shard of shards) drainingByShard.set(shard, isDraining);
        return isDraining
          ? new Promise<void>(resolve => (finish = resolve))
          : Promise.resolve();
      },
    },
    sendRemote: (_vm: string, message: PeerMessage) => sent.push(message),
    broadcast: () => {},
  } as never);
});

describe('drain and stop orders of assigners', () => {
  it('confirms a drain once no request is in flight', async () => {
    drain(true);
    await flush();
    expect(sent).toEqual([]);
    finish();
    await flush();
    expect(answers()).toEqual([[0, 1]]);
  });

  // Guards against a late confirmation that the assigner takes for one of the
  // next drain of the same shards, although requests started in between.
  it('does not confirm a cancelled drain', async () => {
    drain(true);
    const finishFirst = finish;
    drain(false);
    finishFirst();
    drain(true);
    await flush();
    expect(sent).toEqual([]);
    finish();
    await flush();
    expect(answers()).toEqual([[0, 1]]);
  });

  it('cancels the drains of an older term', async () => {
    drain(true);
    term = 2;
    messageHandler.onStateChanged();
    expect([...drainingByShard.values()]).toEqual([false, false]);
    finish();
    await flush();
    expect(sent).toEqual([]);
    drain(true, 1);
    expect([...drainingByShard.values()]).toEqual([false, false]);
  });

  // Guards against requests that are held for a shard that has moved away and
  // returns in the same term.
  it('ends the drain of a shard that has moved', () => {
    drain(true);
    epochs = [9, 5];
    messageHandler.onStateChanged();
    expect([...drainingByShard]).toEqual([
      [0, false],
      [1, true],
    ]);
  });

  it('does not use a stopped fence again in the same term', async () => {
    handle(table(1, 1, row('x')));
    expect(fences.get('x')).toEqual(firstFence);
    handle(stop(1));
    await flush();
    handle(table(1, 2, row('x')));
    expect(fences.get('x')).toBeNull();
    handle(table(2, 1, row('x')));
    expect(fences.get('x')).toEqual(firstFence);
  });

  // Guards against a delayed copy of a stop order that ends a later assignment
  // and whose answer the assigner takes for the stop of that assignment.
  it('answers a stop with its fence, ignores one of an older fence', async () => {
    handle(table(1, 1, row('x')));
    handle(stop(1));
    await flush();
    expect(sent).toEqual([
      {kind: 'dispatch-stopped', server: 'x', term: 1, fence: firstFence},
    ]);
    const later = {term: 1, seq: 2};
    handle(table(1, 2, row('x', later)));
    handle(stop(1));
    await flush();
    expect(sent).toHaveLength(1);
    handle(table(1, 3, row('x', later)));
    expect(fences.get('x')).toEqual(later);
  });

  it('ignores stop orders of an older term', async () => {
    handle(table(1, 1, row('x')));
    term = 2;
    handle(stop(1));
    await flush();
    expect(sent).toEqual([]);
  });

  // The first table of a new assigner lists only servers that have answered it.
  it('keeps rows of servers that the first table of a term omits', () => {
    handle(table(1, 2, row('x'), row('y')));
    handle(table(2, 1, row('y', {term: 2, seq: 1}, 'other')));
    handle(table(1, 3, row('y')));
    expect(fences.get('x')).toEqual(firstFence);
    expect(fences.get('y')).toBeNull();
    expect(messageHandler.dispatchedServerCount).toBe(1);
  });
});
