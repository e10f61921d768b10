import { Verdict } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

const strict = { additionalProperties: false } as const;

/**
 * One line of what a caller is streamed. Invariant: exactly one line with `end` or `cut`, the last; a torn
 * connection has none.
 */
export const AnswerLine = Type.Union([
  Type.Object({ n: Type.Integer({ minimum: 1 }), text: Type.String() }, strict),
  Type.Object({ end: Type.Literal(true), count: Type.Integer({ minimum: 0 }), digest: Type.String() }, strict),
  Type.Object({ cut: Type.Literal(true), verdict: Verdict }, strict),
]);
export type AnswerLine = Static<typeof AnswerLine>;
