import { Type, type Static } from 'typebox';

const strict = { additionalProperties: false } as const;

/** One line of a decode server's stream: a numbered piece of the answer, or the end with piece count and digest. */
export const DecodeStreamLine = Type.Union([
  Type.Object(
    {
      key: Type.String(),
      attempt: Type.Integer(),
      born: Type.String(),
      n: Type.Integer({ minimum: 1 }),
      text: Type.String(),
    },
    strict,
  ),
  Type.Object(
    {
      key: Type.String(),
      attempt: Type.Integer(),
      born: Type.String(),
      end: Type.Literal(true),
      count: Type.Integer({ minimum: 0 }),
      digest: Type.String(),
    },
    strict,
  ),
]);
export type DecodeStreamLine = Static<typeof DecodeStreamLine>;
