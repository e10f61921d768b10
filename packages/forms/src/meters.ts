import { Counter, Gauge, Histogram, Registry } from 'prom-client';

type Labels = Readonly<Record<string, string>>;
const PREFIX = 'pumicebarrow_';
const SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/**
 * What a daemon counts, for those on call, in the usual text form. Invariants: one register a daemon, so that several
 * daemons may live in one process; a label only ever has values that this project sets, never what a caller wrote.
 */
export const Meters = {
  make() {
    const register = new Registry();
    const registers = [register];
    return {
      /** Something that happens; the name ends in `_total`. */
      count(name: string, help: string, labelNames: string[] = []): (labels?: Labels, n?: number) => void {
        const c = new Counter({ name: `${PREFIX}${name}`, help, labelNames, registers });
        return (labels = {}, n = 1) => c.inc(labels, n);
      },
      /** How long something took, told in ms and shown in seconds; the name ends in `_seconds`. */
      time(name: string, help: string, labelNames: string[] = []): (ms: number, labels?: Labels) => void {
        const h = new Histogram({ name: `${PREFIX}${name}`, help, labelNames, buckets: SECONDS, registers });
        return (ms, labels = {}) => h.observe(labels, ms / 1000);
      },
      /** Something that is, read when it is asked for; null where it can't be told. */
      level(name: string, help: string, read: () => number | null): void {
        const fill = (g: Gauge): void => {
          const now = read();
          if (now === null || !Number.isFinite(now)) g.remove();
          else g.set(now);
        };
        const g: Gauge = new Gauge({ name: `${PREFIX}${name}`, help, registers, collect: () => fill(g) });
      },
      /** Several levels of one name, told apart by a label. */
      levels(name: string, help: string, label: string, read: () => Readonly<Record<string, number>>): void {
        const fill = (): void => {
          g.reset();
          for (const [k, n] of Object.entries(read())) g.set({ [label]: k }, n);
        };
        const g: Gauge = new Gauge({ name: `${PREFIX}${name}`, help, labelNames: [label], registers, collect: fill });
      },
      text: (): Promise<string> => register.metrics(),
    };
  },
};
