import { Type, type Static } from 'typebox';

/**
 * The stage assignment of one server: the body of the shared document `row:<server>`. Its mark is (fence, step).
 * Invariant: written only by the holder of that row's lease, whose fence is in the mark. `part` is the assigned stage,
 * `stage` its progress, `born` the server's incarnation.
 */
export const StageAssignment = Type.Object(
  {
    server: Type.String(),
    born: Type.String(),
    part: Type.Union([Type.Literal('prefill'), Type.Literal('decode')]),
    stage: Type.Union([Type.Literal('serving'), Type.Literal('draining'), Type.Literal('dark')]),
    by: Type.String(),
  },
  { additionalProperties: false },
);
export type StageAssignment = Static<typeof StageAssignment>;
