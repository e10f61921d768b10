import { Type, type Static } from 'typebox';

/**
 * One generation of a burst. Invariants: `mark` only rises, and a request is sent for a mark only once that mark is
 * committed; 'waiting' means that no mark so far has run or will run, or that the generation may be repeated; 'ran',
 * 'unsure' and 'dropped' never change. `turn` counts the runners that took over the same mark; `fence` is the fencing
 * token of the last of them.
 */
export const Generation = Type.Object(
  {
    state: Type.Union([
      Type.Literal('waiting'),
      Type.Literal('begun'),
      Type.Literal('ran'),
      Type.Literal('unsure'),
      Type.Literal('dropped'),
    ]),
    mark: Type.Integer({ minimum: 0 }),
    turn: Type.Integer({ minimum: 0 }),
    repeated: Type.Integer({ minimum: 0 }),
    fence: Type.Optional(Type.Integer({ minimum: 1 })),
    text: Type.Optional(Type.String({ maxLength: 4096 })),
    count: Type.Optional(Type.Integer({ minimum: 0 })),
    digest: Type.Optional(Type.String({ maxLength: 64 })),
    why: Type.Optional(Type.String({ maxLength: 200 })),
  },
  { additionalProperties: false },
);
export type Generation = Static<typeof Generation>;
