import { Type, type Static } from 'typebox';
import { Mark } from './mark.js';

/**
 * A news slip: the notice that a piece of shared state has a new version.
 * `date` orders versions; `age` is elapsed monotonic ms since the slip was written, summed hop by hop.
 */
export const Note = Type.Object(
  {
    name: Type.String({ minLength: 1, maxLength: 80 }),
    date: Mark,
    age: Type.Number({ minimum: 0 }),
    from: Type.String(),
    hops: Type.Integer({ minimum: 0 }),
  },
  { additionalProperties: false },
);
export type Note = Static<typeof Note>;
