import { Indices, type Clock, type Rule } from '@pumicebarrow/forms';
import { Heap } from 'heap-js';
import type { Waiter } from './waiter.js';

const LOOK = 2000;
const FEW = 8;
const LEAST = 300;

/** The most urgent first, then the one due soonest, then the one that came first. */
export const Queue = {
  make(clock: Clock) {
    const heap = new Heap<Waiter>((a, b) => b.rule.urgency - a.rule.urgency || a.due - b.due || a.order - b.order);
    const index = Indices.make();
    const count: number[] = [];
    let order = 0;
    let weight = 0;
    let turns: readonly number[] = [];
    const bump = (name: string, by: number): void => {
      const i = index.of(name);
      count[i] = (count[i] ?? 0) + by;
    };
    const leave = (w: Waiter, go: boolean): void => {
      if (!w.open) return;
      w.open = false;
      bump(w.rule.name, -1);
      weight -= w.rule.weight;
      w.turn(go);
    };
    /** How many ms one turn has taken lately; 0 while too few were given to tell. */
    const each = (): number => {
      const seen = turns.filter((x) => x > clock.mono() - LOOK);
      return seen.length < FEW ? 0 : Math.max(LEAST, clock.mono() - seen[0]!) / seen.length;
    };
    return {
      length: (name: string): number => count[index.of(name)] ?? 0,
      total: (): number => count.reduce((a, b) => a + b, 0),
      weight: (): number => weight,
      /**
       * How long one of this urgency would wait, in ms, judged by the turns given lately; 0 when that can't be
       * told.
       */
      foresee(urgency: number): number {
        const ahead = heap.toArray().filter((w) => w.open && w.rule.urgency >= urgency).length;
        return ahead < FEW ? 0 : ahead * each();
      },
      /** Waits for a turn until `due`, then gives up at once. */
      enter(rule: Rule, due: number): { turn: Promise<boolean>; leave: () => void } {
        let say: (go: boolean) => void = () => undefined;
        const turn = new Promise<boolean>((done) => {
          say = done;
        });
        const w: Waiter = { rule, due, order: order++, open: true, turn: say };
        heap.push(w);
        bump(rule.name, 1);
        weight += rule.weight;
        const stop = clock.after(Math.max(0, due - clock.mono()), () => leave(w, false));
        void turn.then(stop);
        return { turn, leave: () => leave(w, false) };
      },
      /** Gives turns in order while `room` says so; one without room does not hold up those behind it. */
      pump(room: (rule: Rule) => boolean): void {
        const back: Waiter[] = [];
        for (let w = heap.pop(); w; w = heap.pop()) {
          if (!w.open) continue;
          if (room(w.rule)) {
            turns = [...turns.filter((x) => x > clock.mono() - LOOK), clock.mono()];
            leave(w, true);
          } else back.push(w);
        }
        for (const w of back) heap.push(w);
      },
      clear(): void {
        for (const w of heap.toArray()) leave(w, false);
      },
    };
  },
};
