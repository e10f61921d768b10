import { NameIndex, type Clock, type NamedRoute } from '@pumicebarrow/forms';
import { Heap } from 'heap-js';
import type { QueuedRequest } from './queuedrequest.js';

/** Period over which the rate of turns is measured. */
const RATE_WINDOW_MS = 2000;
/** Fewer turns, or fewer requests ahead, than this give no estimate. */
const MIN_SAMPLES = 8;
const MIN_SPAN_MS = 300;

/** Priority queue of requests: the most urgent first, then by earliest deadline, then in order of arrival. */
export const Queue = {
  make(clock: Clock) {
    const heap = new Heap<QueuedRequest>(
      (a, b) => b.rule.urgency - a.rule.urgency || a.due - b.due || a.sequence - b.sequence,
    );
    const index = NameIndex.make();
    const counts: number[] = [];
    let nextSequence = 0;
    let totalWeight = 0;
    let recentTurns: readonly number[] = [];
    const adjustCount = (routeName: string, by: number): void => {
      const i = index.indexOf(routeName);
      counts[i] = (counts[i] ?? 0) + by;
    };
    const remove = (waiter: QueuedRequest, granted: boolean): void => {
      if (!waiter.pending) return;
      waiter.pending = false;
      adjustCount(waiter.rule.name, -1);
      totalWeight -= waiter.rule.weight;
      waiter.resolve(granted);
    };
    /** Mean time between recent turns in ms; 0 if there were too few for an estimate. */
    const msPerTurn = (): number => {
      const recent = recentTurns.filter((x) => x > clock.mono() - RATE_WINDOW_MS);
      return recent.length < MIN_SAMPLES ? 0 : Math.max(MIN_SPAN_MS, clock.mono() - recent[0]!) / recent.length;
    };
    return {
      /** Number of queued requests of a route. */
      length: (routeName: string): number => counts[index.indexOf(routeName)] ?? 0,
      total: (): number => counts.reduce((a, b) => a + b, 0),
      weight: (): number => totalWeight,
      /** Estimated wait of a new request of this urgency in ms, by the rate of recent turns; 0 if it is unknown. */
      estimateWaitMs(urgency: number): number {
        const ahead = heap.toArray().filter((w) => w.pending && w.rule.urgency >= urgency).length;
        return ahead < MIN_SAMPLES ? 0 : ahead * msPerTurn();
      },
      /** Queues a request. `turn` becomes true once it is granted, or false at the time `due` at the latest. */
      enter(route: NamedRoute, due: number): { turn: Promise<boolean>; leave: () => void } {
        let resolve: (granted: boolean) => void = () => undefined;
        const turn = new Promise<boolean>((done) => {
          resolve = done;
        });
        const waiter: QueuedRequest = { rule: route, due, sequence: nextSequence++, pending: true, resolve };
        heap.push(waiter);
        adjustCount(route.name, 1);
        totalWeight += route.weight;
        const cancelTimer = clock.after(Math.max(0, due - clock.mono()), () => remove(waiter, false));
        void turn.then(cancelTimer);
        return { turn, leave: () => remove(waiter, false) };
      },
      /** Grants turns in order while `hasRoom` allows; a request without room does not block those behind it. */
      grantTurns(hasRoom: (route: NamedRoute) => boolean): void {
        const blocked: QueuedRequest[] = [];
        for (let waiter = heap.pop(); waiter; waiter = heap.pop()) {
          if (!waiter.pending) continue;
          if (hasRoom(waiter.rule)) {
            recentTurns = [...recentTurns.filter((x) => x > clock.mono() - RATE_WINDOW_MS), clock.mono()];
            remove(waiter, true);
          } else blocked.push(waiter);
        }
        for (const waiter of blocked) heap.push(waiter);
      },
      /** Fails all queued requests. */
      clear(): void {
        for (const waiter of heap.toArray()) remove(waiter, false);
      },
    };
  },
};
