import {describe, expect, test} from 'vitest';
import {
  Channel,
  createLogger,
  Metrics,
  Timeline,
  TIMELINE_CAPACITY,
} from '../src/index.js';

const clock = {monotonicMs: () => 5, wallMs: () => 1_000};

describe('logger', () => {
  const createCapturingLogger = (
    level: 'debug' | 'info' | 'warn' | 'error',
  ) => {
    const lines: string[] = [];
    const logger = createLogger({
      level,
      process: 'entry-1',
      zone: 'a',
      secrets: ['s3cr3t-value', 'quoted"secret'],
      write: line => lines.push(line),
    });
    return {lines, logger};
  };

  // Guards against treating a % in an event as a format directive, and against a
  // line break in a value that splits the line.
  test('writes one key=value line for each event at or above its level', () => {
    const {lines, logger} = createCapturingLogger('warn');
    logger.info('link-up', {vm: 'b'});
    logger.warn('link-down 100%', {vm: 'b', cause: 'two\nlines', n: 3});
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatch(
      /^time=\S+ event="link-down 100%" level=warn process=entry-1 zone=a vm=b cause="two\\nlines" n=3$/,
    );
  });

  test('redacts secrets in every field', () => {
    const {lines, logger} = createCapturingLogger('debug');
    logger.error('failed', {token: 'abc', cause: 'sent s3cr3t-value twice'});
    expect(lines[0]).toContain('token=[redacted]');
    expect(lines[0]).not.toMatch(/abc|s3cr3t-value/);
    logger.error('failed', {cause: 'sent quoted"secret twice'});
    expect(lines[1]).toContain('[redacted]');
    expect(lines[1]).not.toContain('quoted');
  });

  test('writes the lines of two loggers to their own destinations', () => {
    const [first, second] = [
      createCapturingLogger('info'),
      createCapturingLogger('info'),
    ];
    first.logger.info('one');
    second.logger.info('two');
    first.logger.info('three');
    expect([first.lines.length, second.lines.length]).toEqual([2, 1]);
  });
});

describe('timeline', () => {
  test('keeps only the latest events and returns those after a sequence number', () => {
    const timeline = new Timeline({process: 'p', zone: 'a', clock});
    for (let n = 0; n < TIMELINE_CAPACITY + 10; n++) timeline.add({kind: 'k'});
    const events = timeline.since(0);
    expect(events).toHaveLength(TIMELINE_CAPACITY);
    expect(events[0]?.seq).toBe(11);
    expect(timeline.since(timeline.lastSeq)).toEqual([]);
    expect(timeline.since(timeline.lastSeq - 2).map(e => e.seq)).toEqual([
      TIMELINE_CAPACITY + 9,
      TIMELINE_CAPACITY + 10,
    ]);
  });
});

describe('metrics', () => {
  test('renders counters, gauges and quantile summaries in the Prometheus text format', () => {
    const metrics = new Metrics();
    const requests = metrics.counter('requests_total', 'Requests.');
    requests.add(2, {outcome: 'a"b'});
    requests.add(1, {outcome: 'a"b'});
    metrics.gauge('links', 'Links.').set(3);
    const times = metrics.histogram('time_ms', 'Times.');
    for (let n = 1; n <= 100; n++) times.record(n);
    const text = metrics.render();
    expect(text).toContain('# TYPE requests_total counter\n');
    expect(text).toContain('requests_total{outcome="a\\"b"} 3\n');
    expect(text).toContain('links 3\n');
    expect(text).toContain('time_ms{quantile="0.5"} 50\n');
    expect(text).toContain('time_ms_sum 5050\ntime_ms_count 100\n');
  });

  test('throws for a second metric of the same name', () => {
    const metrics = new Metrics();
    metrics.counter('a', '');
    expect(() => metrics.gauge('a', '')).toThrow();
  });
});

describe('channel', () => {
  test('delivers to every listener and ends on close', async () => {
    const channel = new Channel<number>();
    const seen: number[] = [];
    const done = channel.stream.observe(value => seen.push(value));
    channel.emit(1);
    channel.emit(2);
    channel.close();
    await done;
    channel.emit(3);
    expect(seen).toEqual([1, 2]);
  });
});
