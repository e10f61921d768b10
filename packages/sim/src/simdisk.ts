import { Err, Ok, type Disk } from '@pumicebarrow/forms';
import type { Motor } from './motor.js';

/** A simulated disk: slow, full, stalled or wiped as a fault wants it. What was synced outlives a kill. */
export const SimDisk = {
  make(motor: Motor, pace: number) {
    let files = new Map<string, { n: number; text: string }[]>();
    let extra = 0;
    let full = false;
    let stall = 0;
    let puts = 0;
    let lies = false;
    const wait = (): number => Math.max(stall - motor.now(), 0) + pace + extra + motor.chance.real() * pace;
    const disk: Disk = {
      put(kind, n, v) {
        const text = JSON.stringify(v), into = files;
        puts++;
        return new Promise((done) => {
          motor.at(motor.now() + wait(), () => {
            if (full) { done(Err('the disk is full')); return; }
            if (lies) { done(Ok(undefined)); return; }
            const old = (into.get(kind) ?? []).filter((f) => f.n > n - 2 && f.n !== n);
            into.set(kind, [{ n, text }, ...old].sort((a, b) => b.n - a.n));
            done(Ok(undefined));
          });
        });
      },
      last(kind) {
        const f = files.get(kind)?.[0];
        if (!f) return Promise.resolve(Ok(null));
        try {
          return Promise.resolve(Ok({ n: f.n, v: JSON.parse(f.text) as unknown, bad: false }));
        } catch {
          return Promise.resolve(Ok({ n: f.n, v: null, bad: true }));
        }
      },
      aside() {
        files = new Map();
        return Promise.resolve(Ok(undefined));
      },
    };
    return {
      disk,
      puts: (): number => puts,
      wipe(): void { files = new Map(); },
      slow(ms: number): void { extra = ms; },
      fill(on: boolean): void { full = on; },
      stall(ms: number): void { stall = motor.now() + ms; },
      /** A disk that says it has synced and has not: no daemon can stand that, so only broken runs use it. */
      lie(): void { lies = true; },
      /** Tears the newest file of a kind in half. */
      tear(kind: string): void {
        const f = files.get(kind)?.[0];
        if (f) f.text = f.text.slice(0, f.text.length / 2);
      },
    };
  },
};
