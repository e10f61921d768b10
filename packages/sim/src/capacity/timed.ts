import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const BATCH = 40;
const TIMES = 5;
setFlagsFromString('--expose_gc');
const sweep = runInNewContext('gc') as () => void;

/** The machine's own time and memory. Machines differ, so these figures are never compared with a bound. */
export const Timed = {
  /** Microseconds a call: the median of some batches, each as long as to be worth reading. */
  us(fn: () => void): number {
    fn();
    const one = (n: number): number => {
      const from = performance.now();
      for (let i = 0; i < n; i++) fn();
      return performance.now() - from;
    };
    let n = 1;
    while (one(n) < BATCH / 4 && n < 1_000_000) n *= 4;
    const all = Array.from({ length: TIMES }, () => (one(n) / n) * 1000);
    return all.sort((a, b) => a - b)[Math.floor(TIMES / 2)]!;
  },
  /** Bytes of heap in use once what nobody holds is gone. */
  used(): number {
    sweep();
    return process.memoryUsage().heapUsed;
  },
  /** Bytes of heap that what is made keeps hold of. */
  heap(make: () => unknown): number {
    const before = Timed.used();
    const held = make();
    const after = Timed.used();
    return held === null ? 0 : after - before;
  },
};
