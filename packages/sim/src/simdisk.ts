import { FileDisk, Ok, type Disk } from '@pumicebarrow/forms';
import type { Motor } from './motor.js';
import { SimFolder } from './simfolder.js';

/**
 * A simulated disk: the daemons' own disk code over a simulated folder that is slow, full, stalled, failing, stopped
 * between any two operations, or wiped, as a fault wants it.
 */
export const SimDisk = {
  make(motor: Motor, pace: number, met: (how: string) => void = () => undefined) {
    let extra = 0;
    let full = false;
    let stall = 0;
    let lies = false;
    let ill: { after: number; why: string } | null = null;
    const wait = (costly: boolean): number => {
      if (!costly) return 0.02;
      if (extra > 0) met('slow');
      if (stall > motor.now()) met('stalled');
      return Math.max(stall - motor.now(), 0) + (pace + extra + motor.chance.real() * pace) / 2;
    };
    const fault = (what: string): string | null => {
      let why: string | null = null;
      if (full && (what === 'write' || what === 'rename')) why = 'the disk is full';
      else if (ill && what !== 'list' && what !== 'read' && ill.after-- <= 0) ({ why } = ill);
      if (why !== null) met(why);
      return why;
    };
    const sim = SimFolder.make(motor, wait, fault);
    const real = FileDisk.onFolder(sim.folder);
    const disk: Disk = { ...real, put: (kind, n, v) => (lies ? Promise.resolve(Ok(undefined)) : real.put(kind, n, v)) };
    const newest = (kind: string): string | undefined =>
      sim
        .names()
        .filter((f) => f.startsWith(`${kind}.`) && f.endsWith('.json'))
        .sort((a, b) => Number(b.split('.')[1]) - Number(a.split('.')[1]))[0];
    return {
      disk,
      steps: sim.steps,
      names: sim.names,
      snare: sim.snare,
      disarm: sim.disarm,
      stop: sim.stop,
      wipe: sim.wipe,
      slow(ms: number): void {
        extra = ms;
      },
      fill(on: boolean): void {
        full = on;
      },
      stall(ms: number): void {
        stall = motor.now() + ms;
      },
      /** After n more changes every change fails, until told otherwise. */
      fail(n: number | null): void {
        ill = n === null ? null : { after: n, why: 'input/output error' };
      },
      /** A disk that says it has synced and has not: no daemon can stand that, so only broken runs use it. */
      lie(): void {
        lies = true;
      },
      /** Tears the newest file of a kind in half; true if there was one. */
      tear(kind: string): boolean {
        const name = newest(kind);
        if (name) sim.spoil(name, (t) => t.slice(0, t.length / 2));
        return name !== undefined;
      },
      /** Takes every file of a kind away; true if there was one. */
      lose(kind: string): boolean {
        const list = sim.names().filter((f) => f.startsWith(`${kind}.`));
        for (const f of list) sim.lose(f);
        return list.length > 0;
      },
    };
  },
};
