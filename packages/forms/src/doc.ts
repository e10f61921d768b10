import { Type, type Static } from 'typebox';
import { Mark } from './mark.js';

/** One version of one piece of shared state, with its body. Immutable once made. */
export const Doc = Type.Object(
  {
    name: Type.String({ minLength: 1, maxLength: 80 }),
    mark: Mark,
    body: Type.Unknown(),
  },
  { additionalProperties: false },
);
export type Doc = Static<typeof Doc>;
