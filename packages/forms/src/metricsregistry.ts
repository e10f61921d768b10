import { Counter, Gauge, Histogram, Registry } from 'prom-client';

type Labels = Readonly<Record<string, string>>;
const PREFIX = 'pumicebarrow_';
const BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/**
 * The metrics of a daemon, in the Prometheus text format. Invariants: one registry per daemon, so that several daemons
 * can run in one process; labels have only values that this project sets, never text that a caller sent.
 */
export const MetricsRegistry = {
  make() {
    const registry = new Registry();
    const registers = [registry];
    return {
      /** Registers a counter, whose name must end in `_total`; the returned function increments it. */
      counter(name: string, help: string, labelNames: string[] = []): (labels?: Labels, n?: number) => void {
        const counter = new Counter({ name: `${PREFIX}${name}`, help, labelNames, registers });
        return (labels = {}, n = 1) => counter.inc(labels, n);
      },
      /** Registers a histogram of durations, whose name must end in `_seconds`; the returned function takes ms. */
      timer(name: string, help: string, labelNames: string[] = []): (ms: number, labels?: Labels) => void {
        const histogram = new Histogram({
          name: `${PREFIX}${name}`,
          help,
          labelNames,
          buckets: BUCKETS_SECONDS,
          registers,
        });
        return (ms, labels = {}) => histogram.observe(labels, ms / 1000);
      },
      /** Registers a gauge that is read at each scrape; `read` gives null if the value is not known. */
      gauge(name: string, help: string, read: () => number | null): void {
        const collect = (g: Gauge): void => {
          const value = read();
          if (value === null || !Number.isFinite(value)) g.remove();
          else g.set(value);
        };
        const gauge: Gauge = new Gauge({ name: `${PREFIX}${name}`, help, registers, collect: () => collect(gauge) });
      },
      /** Registers a gauge with one label; `read` gives the value for each value of the label. */
      labeledGauge(name: string, help: string, label: string, read: () => Readonly<Record<string, number>>): void {
        const collect = (): void => {
          gauge.reset();
          for (const [labelValue, value] of Object.entries(read())) gauge.set({ [label]: labelValue }, value);
        };
        const gauge: Gauge = new Gauge({ name: `${PREFIX}${name}`, help, labelNames: [label], registers, collect });
      },
      /** All metrics in the text format. */
      render: (): Promise<string> => registry.metrics(),
    };
  },
};
