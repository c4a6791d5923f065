/** Counters, gauges and histograms in the Prometheus text format. */
import {build} from 'hdr-histogram-js';
import type {Histogram as HdrHistogram} from 'hdr-histogram-js';

/** Label names and values of one series. */
export type Labels = Readonly<Record<string, string | number>>;

const NO_LABELS: Labels = {};
const QUANTILES = [0.5, 0.9, 0.99, 0.999];
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

interface Family {
  readonly type: 'counter' | 'gauge' | 'summary';
  lines(): Iterable<string>;
}

/** Sum that only grows. */
export class Counter implements Family {
  readonly type = 'counter';
  readonly #values = new Map<string, number>();

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
    const key = formatLabels(labels);
    this.#values.set(key, (this.#values.get(key) ?? 0) + amount);
  }

  *lines(): Generator<string> {
    for (const [key, value] of this.#values)
      yield `${this.name}${key} ${value}`;
  }
}

/** Value that may grow and shrink. */
export class Gauge implements Family {
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

  *lines(): Generator<string> {
    for (const [key, value] of this.#values)
      yield `${this.name}${key} ${value}`;
  }
}

/** Distribution of whole numbers, shown as quantiles. */
export class Histogram implements Family {
  readonly type = 'summary';
  readonly #series = new Map<
    string,
    {readonly labels: Labels; readonly values: HdrHistogram; sum: number}
  >();

  /**
   * @param name - Metric name, with the unit as its suffix.
   */
  constructor(readonly name: string) {}

  /**
   * Records a value.
   *
   * @param value - Value in the metric's unit; rounded, at least 0.
   * @param labels - Labels of the series.
   */
  record(value: number, labels: Labels = NO_LABELS): void {
    const key = formatLabels(labels);
    let series = this.#series.get(key);
    if (series === undefined) {
      const values = build({
        autoResize: true,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      });
      series = {labels, values, sum: 0};
      this.#series.set(key, series);
    }
    series.values.recordValue(Math.max(0, Math.round(value)));
    series.sum += value;
  }

  *lines(): Generator<string> {
    for (const [key, {labels, values, sum}] of this.#series) {
      for (const quantile of QUANTILES) {
        const labelled = formatLabels({...labels, quantile});
        yield `${this.name}${labelled} ${values.getValueAtPercentile(quantile * 100)}`;
      }
      yield `${this.name}_sum${key} ${sum}`;
      yield `${this.name}_count${key} ${values.totalCount}`;
    }
  }
}

/** All metrics of the process. */
export class Metrics {
  readonly #families = new Map<string, {family: Family; help: string}>();

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
   * Writes all metrics.
   *
   * @returns Prometheus text format, version 0.0.4.
   */
  render(): string {
    const lines: string[] = [];
    for (const [name, {family, help}] of this.#families) {
      lines.push(`# HELP ${name} ${help}`, `# TYPE ${name} ${family.type}`);
      lines.push(...family.lines());
    }
    return lines.join('\n') + '\n';
  }

  #register<T extends Family>(name: string, help: string, family: T): T {
    if (this.#families.has(name)) {
      throw new Error(`metric ${name} is registered twice`);
    }
    this.#families.set(name, {family, help});
    return family;
  }
}
