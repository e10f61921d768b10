import { Verdict } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

const strict = { additionalProperties: false } as const;

/**
 * One line of the NDJSON response that a client receives: a numbered piece of the answer, the end with its piece count
 * and digest, or a truncation (`cut`) with its verdict. Invariant: exactly one line has `end` or `cut`, and it is the
 * last; a response whose connection broke has neither.
 */
export const AnswerLine = Type.Union([
  Type.Object({ n: Type.Integer({ minimum: 1 }), text: Type.String() }, strict),
  Type.Object({ end: Type.Literal(true), count: Type.Integer({ minimum: 0 }), digest: Type.String() }, strict),
  Type.Object({ cut: Type.Literal(true), verdict: Verdict }, strict),
]);
export type AnswerLine = Static<typeof AnswerLine>;
