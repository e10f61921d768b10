import { monitorEventLoopDelay } from 'node:perf_hooks';
import type { Clock } from './clock.js';
import type { Log } from './log.js';
import type { MetricFamily } from './metricfamily.js';
import { Timer } from './timer.js';

/** Sampling period of the histogram; a shorter pause may go unnoticed. */
const RESOLUTION_MS = 50;
/** Period over which the samples are summarized. */
const SUMMARY_PERIOD_MS = 5000;
const NANOSECONDS_PER_MS = 1e6;

/**
 * Measures by how much the event loop of this process runs due work late. A control replica that shares its event loop
 * with a router answers late by that much, and loses its lease when the delay reaches the lease's term.
 */
export const LoopDelay = {
  /** Measures until stopped; a pause of `warnThresholdMs` or more is logged, once per period. */
  start(clock: Clock, log: Log, warnThresholdMs: number) {
    const histogram = monitorEventLoopDelay({ resolution: RESOLUTION_MS });
    histogram.enable();
    // The histogram records the time between two samples, which includes the sampling period.
    const delayMs = (nanoseconds: number): number =>
      Math.max(0, Math.round(nanoseconds / NANOSECONDS_PER_MS) - RESOLUTION_MS);
    let recent = 0;
    let longest = 0;
    const summarize = (): void => {
      recent = histogram.count > 0 ? delayMs(histogram.percentile(99)) : 0;
      const max = histogram.count > 0 ? delayMs(histogram.max) : 0;
      longest = Math.max(longest, max);
      histogram.reset();
      if (max >= warnThresholdMs) log.warn(`The event loop stood still for ${max} ms.`);
    };
    const stop = Timer.every(clock, SUMMARY_PERIOD_MS, summarize);
    const gauge = (name: string, help: string, value: number): MetricFamily => ({
      ...{ name, help, kind: 'gauge' },
      samples: [{ labels: {}, value }],
    });
    return {
      families: (): MetricFamily[] => [
        gauge('event_loop_delay_ms', 'lateness of the event loop in the last 5 s, 99th percentile', recent),
        gauge('event_loop_delay_max_ms', 'longest lateness of the event loop since the start', longest),
      ],
      /** Ends the current period early. */
      summarize,
      stop(): void {
        stop();
        histogram.disable();
      },
    };
  },
};
