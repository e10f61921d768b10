import type { MetricsRegistry } from './metricsregistry.js';

/** The metrics of one daemon. */
export type Metrics = ReturnType<typeof MetricsRegistry.make>;
