import type { EngineModel } from './enginemodel.js';

/** The model servers that runs are played with: small ones that fill up soon, and large ones as in production. */
export const EngineModels = {
  small: { slots: 16, memory: 40_000, queue: 12, step: 12, stepPerRun: 0.25, pace: 40, chunk: 512, link: 25_000 },
  large: { slots: 64, memory: 400_000, queue: 192, step: 2.6, stepPerRun: 0.12, pace: 48, chunk: 1024, link: 740_000 },
} as const satisfies Record<string, EngineModel>;
