import { Type, type Static } from 'typebox';
import { BurstSpec } from './burstspec.js';
import { Generation } from './generation.js';

/**
 * A burst as the control replicas store it. Invariants: `order` is unique and rises with each new burst; there are
 * prompts times samples generations, with the samples of one prompt next to each other; once `ended`, no generation is
 * started. A burst that is `gone` has no generations, and its prompts are deleted.
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
