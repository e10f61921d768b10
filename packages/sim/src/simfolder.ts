import { Random, type Folder } from '@pumicebarrow/forms';
import type { Motor } from './motor.js';

/** What a file holds now, and what of it a stop of the machine leaves; null for nothing yet. */
type File = { text: string; safe: string | null };
type Table = ReadonlyMap<string, File>;

/**
 * A simulated folder. Invariants: a stop leaves of each file what was synced, or by chance what was written, whole or
 * torn; of each name what was settled, or by chance what was done since; an operation under way at a stop never ends.
 */
export const SimFolder = {
  make(motor: Motor, wait: (costly: boolean) => number, fault: (what: string) => string | null) {
    let now: Table = new Map();
    let safe: Table = new Map();
    let life = 0;
    let steps = 0;
    let trap: { at: number; spring: () => void } | null = null;
    const op = <T>(what: string, costly: boolean, job: () => T): Promise<T> =>
      new Promise((done, fail) => {
        const mine = life;
        steps++;
        if (trap && steps >= trap.at) {
          const { spring } = trap;
          trap = null;
          spring();
          if (life !== mine) return;
        }
        motor.at(motor.now() + wait(costly), () => {
          if (life !== mine) return;
          const why = fault(what);
          if (why !== null) {
            fail(new Error(why));
            return;
          }
          try {
            done(job());
          } catch (e) {
            fail(e instanceof Error ? e : new Error(String(e)));
          }
        });
      });
    const get = (name: string): File => {
      const f = now.get(name);
      if (!f) throw new Error(`there is no ${name}`);
      return f;
    };
    const change = (fn: (t: Map<string, File>) => void): void => {
      const next = new Map(now);
      fn(next);
      now = next;
    };
    const folder: Folder = {
      /** In any order, as a real folder may. */
      list: () => op('list', false, () => Random.sample(motor.chance, [...now.keys()], now.size)),
      read: (name) => op('read', false, () => get(name).text),
      write: (name, text) => op('write', false, () => change((t) => t.set(name, { text, safe: null }))),
      syncFile: (name) =>
        op('sync', true, () => {
          const f = get(name);
          f.safe = f.text;
        }),
      rename: (from, to) =>
        op('rename', false, () => {
          const f = get(from);
          change((t) => {
            t.delete(from);
            t.set(to, f);
          });
        }),
      remove: (name) => op('remove', false, () => change((t) => t.delete(name))),
      syncFolder: () =>
        op('settle', true, () => {
          safe = now;
        }),
    };
    /** What a stop of the machine leaves of one file. */
    const left = (f: File): File | null => {
      if (f.safe !== null) return { text: f.safe, safe: f.safe };
      const luck = Random.int(motor.chance, 3);
      const text = luck === 0 ? '' : luck === 1 ? f.text.slice(0, f.text.length / 2) : f.text;
      return { text, safe: text };
    };
    return {
      folder,
      steps: (): number => steps,
      names: (): string[] => [...now.keys()],
      /** Springs at the n-th operation from here, before it is done. */
      snare(n: number, spring: () => void): void {
        trap = { at: steps + n, spring };
      },
      disarm(): void {
        trap = null;
      },
      /** The machine stops: what was not synced is lost or kept, each by chance. */
      stop(): void {
        life++;
        const next = new Map<string, File>();
        for (const name of new Set([...safe.keys(), ...now.keys()])) {
          const kept =
            safe.get(name) === now.get(name) || Random.int(motor.chance, 2) === 0 ? safe.get(name) : now.get(name);
          const f = kept ? left(kept) : null;
          if (f) next.set(name, f);
        }
        now = next;
        safe = next;
      },
      wipe(): void {
        now = new Map();
        safe = now;
      },
      /** Damages one file for good. */
      spoil(name: string, to: (text: string) => string): void {
        const f = get(name),
          text = to(f.text);
        change((t) => t.set(name, { text, safe: text }));
        safe = now;
      },
      lose(name: string): void {
        change((t) => t.delete(name));
        safe = now;
      },
    };
  },
};
