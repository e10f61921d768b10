import { Type, type Static } from 'typebox';

/**
 * Orders a server to run a stage. A server that has seen a higher (fence, step), or whose clock has passed `by`,
 * rejects it.
 */
export const StageOrder = Type.Object(
  {
    /** Fencing token of the sender's lease. */
    fence: Type.Integer({ minimum: 1 }),
    /** Number of the order under this token. */
    step: Type.Integer({ minimum: 0 }),
    part: Type.Union([Type.Literal('prefill'), Type.Literal('decode')]),
    stage: Type.Union([Type.Literal('serving'), Type.Literal('draining')]),
    /** Id of the daemon that gives the order. */
    who: Type.String(),
    /** Incarnation of the server for which the order is meant. */
    born: Type.String(),
    /** Latest time at which the order may take effect, on the server's clock. */
    by: Type.Number(),
  },
  { additionalProperties: false },
);
export type StageOrder = Static<typeof StageOrder>;
