import type { Clock } from './clock.js';

/** Small tools over a clock. */
export const Timer = {
  nap: (clock: Clock, ms: number): Promise<void> =>
    new Promise((done) => {
      clock.after(ms, done);
    }),
  /** Settles with the value, or with `late` after ms. */
  within<T>(clock: Clock, ms: number, job: Promise<T>, late: () => T): Promise<T> {
    return new Promise((done, fail) => {
      const stop = clock.after(ms, () => done(late()));
      job.then(
        (v) => {
          stop();
          done(v);
        },
        (e: unknown) => {
          stop();
          fail(e instanceof Error ? e : new Error(String(e)));
        },
      );
    });
  },
  /** Runs fn again and again, one at a time, until stopped. */
  every: (clock: Clock, ms: number, fn: () => Promise<void> | void): (() => void) => Timer.paced(clock, () => ms, fn),
  /** The same, with a pause that is asked for anew each time. */
  paced(clock: Clock, ms: () => number, fn: () => Promise<void> | void): () => void {
    let off = false;
    let cancel: () => void = () => undefined;
    const loop = async (): Promise<void> => {
      while (!off) {
        await fn();
        if (off) return;
        await new Promise<void>((done) => {
          cancel = (clock.beat ?? clock.after)(ms(), done);
        });
      }
    };
    void loop();
    return () => {
      off = true;
      cancel();
    };
  },
};
