import { Mark } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/**
 * A version of a doc as what another version is changed by: runs of the chunks that the asker holds (from, how many),
 * and texts between them. Invariant: `sum` is of the whole, and nothing counts that does not give it.
 */
export const DocPart = Type.Object(
  {
    mark: Mark,
    sum: Type.String(),
    pieces: Type.Array(
      Type.Union([
        Type.String(),
        Type.Tuple([Type.Integer({ minimum: 0 }), Type.Integer({ minimum: 1, maximum: 1_000_000 })]),
      ]),
    ),
  },
  { additionalProperties: false },
);
export type DocPart = Static<typeof DocPart>;
