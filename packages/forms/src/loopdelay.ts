import { monitorEventLoopDelay } from 'node:perf_hooks';
import type { Clock } from './clock.js';
import type { Log } from './log.js';
import type { MetricFamily } from './metricfamily.js';
import { Timer } from './timer.js';

/** ms between two looks at the loop: a shorter pause than this may go unseen. */
const RESOLUTION = 50;
/** ms after which what was seen is summed up. */
const PERIOD = 5000;
const NANOSECONDS = 1e6;

/**
 * How late the event loop of this process runs what is due. A member of the core that shares its loop with a router
 * answers late by that much, and loses its lease once it is late by the lease's term.
 */
export const LoopDelay = {
  /** Measures until stopped; a pause of `unusual` ms and more is logged, once a period. */
  start(clock: Clock, log: Log, unusual: number) {
    const histogram = monitorEventLoopDelay({ resolution: RESOLUTION });
    histogram.enable();
    // The histogram counts from one look to the next, so the time between two looks is part of it.
    const late = (nanoseconds: number): number => Math.max(0, Math.round(nanoseconds / NANOSECONDS) - RESOLUTION);
    let recent = 0;
    let longest = 0;
    const sumUp = (): void => {
      recent = histogram.count > 0 ? late(histogram.percentile(99)) : 0;
      const worst = histogram.count > 0 ? late(histogram.max) : 0;
      longest = Math.max(longest, worst);
      histogram.reset();
      if (worst >= unusual) log.warn(`The event loop stood still for ${worst} ms.`);
    };
    const stop = Timer.every(clock, PERIOD, sumUp);
    const gauge = (name: string, help: string, value: number): MetricFamily => ({
      ...{ name, help, kind: 'gauge' },
      samples: [{ labels: {}, value }],
    });
    return {
      families: (): MetricFamily[] => [
        gauge('event_loop_delay_ms', 'lateness of the event loop in the last 5 s, 99th percentile', recent),
        gauge('event_loop_delay_max_ms', 'longest lateness of the event loop since the start', longest),
      ],
      sumUp,
      stop(): void {
        stop();
        histogram.disable();
      },
    };
  },
};
