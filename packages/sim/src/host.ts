import { Random, type RandomSource, type Clock, type HistoryEvent, type Disk, type Message } from '@pumicebarrow/forms';
import type { Motor } from './motor.js';

type Ear = (mail: Message) => Promise<unknown>;

/**
 * One simulated machine. Invariants: what a killed life had scheduled never runs; what a frozen one had
 * scheduled runs when it thaws; the monotonic clock goes on through both,
 * but stands still through a pause.
 */
export const Host = {
  make(motor: Motor, id: string, addr: string, zone: string, disk: Disk | null, tell: (d: HistoryEvent) => void) {
    const chance: RandomSource = Random.seeded(Random.int(motor.chance, 2 ** 31));
    let life = 0;
    let up = false;
    let thaw = 0;
    let skew = 0;
    let still = 0;
    let ear: Ear | null = null;
    const clockOf = (mine: number): Clock => ({
      mono: () => motor.now() - still,
      wall: () => 1_800_000_000_000 + motor.now() + skew,
      after(ms, fn) {
        let on = true;
        const fire = (): void => {
          if (!on || life !== mine || !up) return;
          if (thaw > motor.now()) {
            motor.at(thaw, fire);
            return;
          }
          fn();
        };
        motor.at(motor.now() + Math.max(0, ms), fire);
        return () => {
          on = false;
        };
      },
    });
    return {
      id,
      site: zone,
      chance,
      disk,
      addr: (): string => addr,
      move(to: string): void {
        addr = to;
      },
      life: (): number => life,
      up: (): boolean => up,
      frozen: (): boolean => thaw > motor.now(),
      thaw: (): number => thaw,
      skew(ms: number): void {
        skew += ms;
      },
      freeze(ms: number): void {
        thaw = Math.max(thaw, motor.now() + ms);
      },
      /**
       * Frozen as a paused virtual machine is: its monotonic clock stands still, and its wall clock is set right on
       * waking.
       */
      pause(ms: number): void {
        thaw = Math.max(thaw, motor.now() + ms);
        still += ms;
      },
      begin(): Clock {
        life++;
        up = true;
        thaw = 0;
        ear = null;
        return clockOf(life);
      },
      kill(): void {
        up = false;
        life++;
        ear = null;
      },
      hear(fn: Ear): void {
        ear = fn;
      },
      ear: (): Ear | null => (up ? ear : null),
      tell(d: Omit<HistoryEvent, 'who' | 'at'>): void {
        tell({ ...d, who: id, at: motor.now() } as HistoryEvent);
      },
    };
  },
};
