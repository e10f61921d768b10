import { Type, type Static } from 'typebox';

/** State that a model server reports about itself. `born` is its incarnation, `part` its stage (prefill or decode). */
export const ModelServerState = Type.Object(
  {
    id: Type.String(),
    born: Type.String(),
    part: Type.Union([Type.Literal('prefill'), Type.Literal('decode'), Type.Literal('none')]),
    stage: Type.Union([Type.Literal('serving'), Type.Literal('draining')]),
    fence: Type.Integer(),
    step: Type.Integer(),
    busy: Type.Integer(),
    clock: Type.Number({ description: 'ms that have gone by at the server, by its own clock' }),
  },
  { additionalProperties: false },
);
export type ModelServerState = Static<typeof ModelServerState>;
