import { Type, type Static } from 'typebox';

/**
 * One server's row of the casting sheet: the body of the shared doc `row:<server>`. Its mark is (fence, step).
 * Invariant: written only by the holder of that row's lease, whose fence the mark carries.
 */
export const SheetRow = Type.Object(
  {
    server: Type.String(),
    born: Type.String(),
    part: Type.Union([Type.Literal('prefill'), Type.Literal('decode')]),
    stage: Type.Union([Type.Literal('serving'), Type.Literal('draining'), Type.Literal('dark')]),
    by: Type.String(),
  },
  { additionalProperties: false },
);
export type SheetRow = Static<typeof SheetRow>;
