import { Type, type Static } from 'typebox';
import { BurstSpec } from './burstspec.js';
import { Generation } from './generation.js';

/**
 * A burst as the core keeps it. Invariants: `order` is unique and rises with each that is begun; there are prompts
 * times samples generations, the samples of one prompt next to each other; once `ended` nothing more is begun. One
 * that is `gone` has no generations, and of its prompts nothing is left.
 */
export const Burst = Type.Object(
  {
    spec: BurstSpec,
    digest: Type.String(),
    order: Type.Integer({ minimum: 1 }),
    ended: Type.Boolean(),
    gone: Type.Boolean(),
    generations: Type.Array(Generation),
  },
  { additionalProperties: false },
);
export type Burst = Static<typeof Burst>;
