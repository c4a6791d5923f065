import {createLogger} from '@wisteriarun/runtime';
import {beforeEach, describe, expect, it} from 'vitest';
import {CrashWatch} from '../src/entry/crash-watch.js';
import {gatewayServer} from './fixtures.js';

const logger = createLogger({level: 'error', process: 'test', zone: 'a'});

const requestFields = (path: string) => ({
  idempotencyKey: null,
  service: 'records',
  key: '7 10.9.0.1',
  method: 'POST',
  path,
  lengthBytes: 3,
});

// Guards against a request that crashes one server after another: after three
// crashes, it must not reach a fourth server.
describe('a request that is lost when servers crash', () => {
  let watch: CrashWatch;

  beforeEach(() => (watch = new CrashWatch(logger)));

  /** Loses a request at a server, which then turns out to have restarted. */
  function loseAtRestart(id: string, path: string, atMs: number) {
    watch.recordLostRequest(gatewayServer(id), requestFields(path), atMs);
    return watch.handleServerChange(
      {kind: 'server', server: gatewayServer(id, {bornMs: 2_000})},
      atMs + 1_000,
    );
  }
  const isRefused = (path: string, nowMs = 10_000) =>
    watch.isRefused(() => requestFields(path), nowMs);

  it('is refused after the third crash, but other requests are not', () => {
    for (const [index, id] of ['s1', 's2', 's3'].entries()) {
      expect(isRefused('/poison')).toBe(false);
      loseAtRestart(id, '/poison', index * 2_000);
    }
    expect(isRefused('/poison')).toBe(true);
    expect(isRefused('/other')).toBe(false);
  });

  it('is also counted when the server disappears from the log', () => {
    for (const id of ['s1', 's2', 's3']) {
      watch.recordLostRequest(gatewayServer(id), requestFields('/poison'), 0);
      watch.handleServerChange({kind: 'server-gone', id}, 3_000);
    }
    expect(isRefused('/poison')).toBe(true);
  });

  it('starts again from zero crashes after an answer', () => {
    loseAtRestart('s1', '/read', 0);
    loseAtRestart('s2', '/read', 0);
    expect(watch.answered(() => requestFields('/read'))?.count).toBe(0);
    loseAtRestart('s3', '/read', 0);
    expect(isRefused('/read')).toBe(false);
  });

  it.each([
    ['the server only changed', gatewayServer('s1', {slots: 4})],
    ['the server drains', gatewayServer('s1', {isDraining: true})],
  ])('is not counted when %s', (_, changed) => {
    for (let times = 0; times < 3; times += 1) {
      watch.recordLostRequest(gatewayServer('s1'), requestFields('/read'), 0);
      watch.handleServerChange({kind: 'server', server: changed}, 500);
    }
    expect(isRefused('/read')).toBe(false);
  });

  it('is not counted when the server was draining before it disappeared', () => {
    for (const id of ['s1', 's2', 's3']) {
      const leaving = gatewayServer(id, {isDraining: true});
      watch.handleServerChange({kind: 'server', server: leaving}, 0);
      watch.recordLostRequest(leaving, requestFields('/read'), 1_000);
      watch.handleServerChange({kind: 'server-gone', id}, 2_000);
    }
    expect(isRefused('/read')).toBe(false);
  });

  it('is not counted when the crash comes long after the lost connection', () => {
    for (const id of ['s1', 's2', 's3']) {
      watch.recordLostRequest(gatewayServer(id), requestFields('/read'), 0);
      watch.handleServerChange({kind: 'server-gone', id}, 7_000);
    }
    expect(isRefused('/read')).toBe(false);
  });

  it('is refused at another VM that receives the crash counts', () => {
    const other = new CrashWatch(logger);
    for (const id of ['s1', 's2', 's3']) {
      other.merge(loseAtRestart(id, '/poison', 0), 1_000);
    }
    const fields = () => requestFields('/poison');
    expect(other.isRefused(fields, 2_000)).toBe(true);
    other.merge([watch.answered(fields)!], 2_000);
    expect(other.isRefused(fields, 2_000)).toBe(false);
  });
});
