import { build, type Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

const QUANTILES = [0.5, 0.95, 0.99];
const MICROSECONDS_PER_MS = 1_000;

/** Label values of a counter or latency, by label name. */
export type Labels = Record<string, string>;

interface Latency {
  name: string;
  labels: Labels;
  histogram: Histogram;
}

/** Counters, gauges and latency histograms of one process. */
export class Metrics {
  private readonly registry = new Registry();

  private readonly counters = new Map<string, Counter>();

  private readonly latencies = new Map<string, Latency>();

  /** Adds to a counter, which its first use creates. */
  count(name: string, labels: Labels = {}, amount = 1): void {
    const counter = this.counters.get(name) ?? this.createCounter(name, Object.keys(labels));
    counter.inc(labels, amount);
  }

  /** Removes the value of a counter for one set of labels, so that labels of things that are gone don't
   * accumulate. */
  removeCount(name: string, labels: Labels): void {
    this.counters.get(name)?.remove(labels);
  }

  /** Adds a gauge; `read` returns its value at each scrape. */
  gauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `marjorampin_${name}`,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  /** Records a duration in milliseconds. */
  observe(name: string, labels: Labels, ms: number): void {
    const key = `${name}${JSON.stringify(labels)}`;
    const latency = this.latencies.get(key) ?? this.createLatency(key, name, labels);
    latency.histogram.recordValue(Math.max(1, Math.round(ms * MICROSECONDS_PER_MS)));
  }

  /** Returns a quantile (0 to 1) of a latency in milliseconds, over all its label sets. */
  quantile(name: string, quantile: number): number {
    const merged = build({ useWebAssembly: false });
    this.latencies.forEach((latency) => {
      if (latency.name === name) merged.add(latency.histogram);
    });
    return merged.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_MS;
  }

  /** Returns all metrics in the Prometheus text format. */
  async render(): Promise<string> {
    const counters = await this.registry.metrics();
    const latencies = [...this.latencies.values()].flatMap((latency) => renderLatency(latency));
    return `${counters}${latencies.join('\n')}\n`;
  }

  private createCounter(name: string, labelNames: string[]): Counter {
    const counter = new Counter({
      name: `marjorampin_${name}`,
      help: name.replaceAll('_', ' '),
      labelNames,
      registers: [this.registry],
    });
    this.counters.set(name, counter);
    return counter;
  }

  private createLatency(key: string, name: string, labels: Labels): Latency {
    const latency = { name, labels, histogram: build({ useWebAssembly: false }) };
    this.latencies.set(key, latency);
    return latency;
  }
}

function renderLatency({ name, labels, histogram }: Latency): string[] {
  const metric = `marjorampin_${name}_seconds`;
  const labelPairs = Object.entries(labels).map(
    ([label, value]) => `${label}=${JSON.stringify(value)}`,
  );
  const seconds = (quantile: number) => histogram.getValueAtPercentile(quantile * 100) / 1e6;
  const rows = QUANTILES.map((quantile) => {
    const quantileLabels = [...labelPairs, `quantile="${quantile}"`].join(',');
    return `${metric}{${quantileLabels}} ${seconds(quantile)}`;
  });
  const sum = (histogram.mean * histogram.totalCount) / 1e6;
  const labelSet = labelPairs.length > 0 ? `{${labelPairs.join(',')}}` : '';
  return [
    ...rows,
    `${metric}_sum${labelSet} ${sum || 0}`,
    `${metric}_count${labelSet} ${histogram.totalCount}`,
  ];
}
