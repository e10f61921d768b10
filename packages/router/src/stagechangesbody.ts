import { Type, type Static } from 'typebox';

/**
 * Body of the shared document `changes`: the servers that are changing their stage as one batch, each with its new
 * stage, and the id of the replica that ordered it (`by`). All of them share one document, since one notice per server
 * would fill the gossip caches. The document's version stamp is (fence, step).
 */
export const StageChangesBody = Type.Object(
  {
    rows: Type.Array(
      Type.Tuple([Type.String({ maxLength: 120 }), Type.Union([Type.Literal('prefill'), Type.Literal('decode')])]),
      { maxItems: 50000 },
    ),
    by: Type.String({ maxLength: 120 }),
  },
  { additionalProperties: false },
);
export type StageChangesBody = Static<typeof StageChangesBody>;
