import type { Clock } from './clock.js';

/** Waiting, time limits and periodic tasks on a clock. */
export const Timer = {
  sleep: (clock: Clock, ms: number): Promise<void> =>
    new Promise((resolve) => {
      clock.after(ms, resolve);
    }),
  /** Settles like `promise`, or resolves with `onTimeout()` after `ms`. */
  withTimeout<T>(clock: Clock, ms: number, promise: Promise<T>, onTimeout: () => T): Promise<T> {
    return new Promise((resolve, reject) => {
      const cancel = clock.after(ms, () => resolve(onTimeout()));
      promise.then(
        (value) => {
          cancel();
          resolve(value);
        },
        (e: unknown) => {
          cancel();
          reject(e instanceof Error ? e : new Error(String(e)));
        },
      );
    });
  },
  /** Runs `task` repeatedly, with a pause of `ms` after each run, until the returned function is called. */
  every: (clock: Clock, ms: number, task: () => Promise<void> | void): (() => void) =>
    Timer.everyVarying(clock, () => ms, task),
  /** Like `every`, with a pause that is computed anew after each run. */
  everyVarying(clock: Clock, ms: () => number, task: () => Promise<void> | void): () => void {
    let stopped = false;
    let cancel: () => void = () => undefined;
    const loop = async (): Promise<void> => {
      while (!stopped) {
        await task();
        if (stopped) return;
        await new Promise<void>((resolve) => {
          cancel = (clock.afterCoalesced ?? clock.after)(ms(), resolve);
        });
      }
    };
    void loop();
    return () => {
      stopped = true;
      cancel();
    };
  },
};
