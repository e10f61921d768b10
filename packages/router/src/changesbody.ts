import { Type, type Static } from 'typebox';

/**
 * The body of the shared doc `changes`: servers that change their stage together, and to which. One doc for all of
 * them, as notices of many at once would fill the caches of gossip. Its mark is (fence, step).
 */
export const ChangesBody = Type.Object(
  {
    rows: Type.Array(
      Type.Tuple([Type.String({ maxLength: 120 }), Type.Union([Type.Literal('prefill'), Type.Literal('decode')])]),
      { maxItems: 50000 },
    ),
    by: Type.String({ maxLength: 120 }),
  },
  { additionalProperties: false },
);
export type ChangesBody = Static<typeof ChangesBody>;
