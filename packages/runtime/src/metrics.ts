/** Counters, gauges and histograms in the Prometheus text format. */
import {build} from 'hdr-histogram-js';
import type {Histogram as HdrHistogram} from 'hdr-histogram-js';

/** Labels that identify one series of a metric. */
export type Labels = Readonly<Record<string, string | number>>;

const NO_LABELS: Labels = {};
const QUANTILES = [0.5, 0.9, 0.99, 0.999];
/** Significant decimal digits to which quantiles are exact. */
const SIGNIFICANT_DIGITS = 2;

function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels).map(([name, value]) => {
    const escaped = String(value)
      .replaceAll('\\', '\\\\')
      .replaceAll('"', '\\"')
      .replaceAll('\n', '\\n');
    return `${name}="${escaped}"`;
  });
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}

interface MetricFamily {
  readonly type: 'counter' | 'gauge' | 'summary';
  /** Lines of all series in the text format, without HELP and TYPE. */
  lines(): Iterable<string>;
}

/**
 * One series of a counter. Hot paths keep it to avoid formatting the labels on
 * each call.
 */
export class CounterSeries {
  #value = 0;

  /** Current value. */
  get value(): number {
    return this.#value;
  }

  /**
   * Adds to the series.
   *
   * @param amount - Increment, not negative.
   */
  add(amount = 1): void {
    this.#value += amount;
  }
}

/** Metric whose value only increases. */
export class Counter implements MetricFamily {
  readonly type = 'counter';
  readonly #series = new Map<string, CounterSeries>();

  /**
   * @param name - Metric name.
   */
  constructor(readonly name: string) {}

  /**
   * Adds to one series.
   *
   * @param amount - Increment, not negative.
   * @param labels - Labels of the series.
   */
  add(amount = 1, labels: Labels = NO_LABELS): void {
    this.series(labels).add(amount);
  }

  /**
   * Finds or creates a series; the caller may keep it.
   *
   * @param labels - Labels of the series.
   * @returns The series.
   */
  series(labels: Labels = NO_LABELS): CounterSeries {
    const key = formatLabels(labels);
    const existing = this.#series.get(key);
    if (existing !== undefined) return existing;
    const series = new CounterSeries();
    this.#series.set(key, series);
    return series;
  }

  *lines(): Generator<string> {
    for (const [key, {value}] of this.#series)
      yield `${this.name}${key} ${value}`;
  }
}

/** Metric whose value can go up and down. */
export class Gauge implements MetricFamily {
  readonly type = 'gauge';
  readonly #values = new Map<string, number>();

  /**
   * @param name - Metric name.
   */
  constructor(readonly name: string) {}

  /**
   * Replaces the value of one series.
   *
   * @param value - New value.
   * @param labels - Labels of the series.
   */
  set(value: number, labels: Labels = NO_LABELS): void {
    this.#values.set(formatLabels(labels), value);
  }

  /** Removes all series, for gauges whose label values change over time. */
  clear(): void {
    this.#values.clear();
  }

  *lines(): Generator<string> {
    for (const [key, value] of this.#values)
      yield `${this.name}${key} ${value}`;
  }
}

/**
 * One series of a histogram. Hot paths keep it to avoid formatting the labels on
 * each call.
 */
export class HistogramSeries {
  readonly #histogram: HdrHistogram = build({
    autoResize: true,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  #sum = 0;

  /** Sum of all recorded values, which are not rounded for it. */
  get sum(): number {
    return this.#sum;
  }

  /** Number of recorded values. */
  get count(): number {
    return this.#histogram.totalCount;
  }

  /**
   * Records a value.
   *
   * @param value - Value in the metric's unit. For the quantiles it is rounded
   * to an integer of at least 0; the sum adds it unchanged.
   */
  record(value: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(value)));
    this.#sum += value;
  }

  /**
   * Reads a quantile.
   *
   * @param quantile - Quantile from 0 to 1.
   * @returns Value in the metric's unit.
   */
  quantile(quantile: number): number {
    return this.#histogram.getValueAtPercentile(quantile * 100);
  }
}

/**
 * Distribution of values, rendered as a Prometheus summary: quantiles of the
 * rounded values, the sum of the exact values, and their count.
 */
export class Histogram implements MetricFamily {
  readonly type = 'summary';
  readonly #series = new Map<
    string,
    {readonly labels: Labels; readonly series: HistogramSeries}
  >();

  /**
   * @param name - Metric name, with the unit as its suffix.
   */
  constructor(readonly name: string) {}

  /**
   * Records a value.
   *
   * @param value - Value in the metric's unit; see `HistogramSeries.record`.
   * @param labels - Labels of the series.
   */
  record(value: number, labels: Labels = NO_LABELS): void {
    this.series(labels).record(value);
  }

  /**
   * Finds or creates a series; the caller may keep it.
   *
   * @param labels - Labels of the series.
   * @returns The series.
   */
  series(labels: Labels = NO_LABELS): HistogramSeries {
    const key = formatLabels(labels);
    const existing = this.#series.get(key);
    if (existing !== undefined) return existing.series;
    const series = new HistogramSeries();
    this.#series.set(key, {labels, series});
    return series;
  }

  *lines(): Generator<string> {
    for (const [key, {labels, series}] of this.#series) {
      for (const quantile of QUANTILES) {
        const quantileLabels = formatLabels({...labels, quantile});
        yield `${this.name}${quantileLabels} ${series.quantile(quantile)}`;
      }
      yield `${this.name}_sum${key} ${series.sum}`;
      yield `${this.name}_count${key} ${series.count}`;
    }
  }
}

/** All metrics of the process. */
export class Metrics {
  readonly #families = new Map<string, {family: MetricFamily; help: string}>();
  readonly #collectors: (() => void)[] = [];

  /**
   * Creates a counter; each name may be created once.
   *
   * @param name - Metric name.
   * @param help - One-line description.
   * @returns The counter.
   */
  counter(name: string, help: string): Counter {
    return this.#register(name, help, new Counter(name));
  }

  /**
   * Creates a gauge; each name may be created once.
   *
   * @param name - Metric name.
   * @param help - One-line description.
   * @returns The gauge.
   */
  gauge(name: string, help: string): Gauge {
    return this.#register(name, help, new Gauge(name));
  }

  /**
   * Creates a histogram; each name may be created once.
   *
   * @param name - Metric name.
   * @param help - One-line description.
   * @returns The histogram.
   */
  histogram(name: string, help: string): Histogram {
    return this.#register(name, help, new Histogram(name));
  }

  /**
   * Adds a function that updates gauges right before they are rendered.
   *
   * @param collect - Called at each `render`; must not throw.
   */
  onRender(collect: () => void): void {
    this.#collectors.push(collect);
  }

  /**
   * Renders all metrics.
   *
   * @returns Prometheus text format, version 0.0.4.
   */
  render(): string {
    for (const collect of this.#collectors) collect();
    const lines: string[] = [];
    for (const [name, {family, help}] of this.#families) {
      lines.push(`# HELP ${name} ${help}`, `# TYPE ${name} ${family.type}`);
      lines.push(...family.lines());
    }
    return lines.join('\n') + '\n';
  }

  #register<T extends MetricFamily>(name: string, help: string, family: T): T {
    if (this.#families.has(name)) {
      throw new Error(`metric ${name} is registered twice`);
    }
    this.#families.set(name, {family, help});
    return family;
  }
}
