import { Type } from 'typebox';

const shut = { additionalProperties: false } as const;
const server = { server: Type.String({ maxLength: 60 }) };

/** The forms of what borrower and lender say to each other. */
export const LoanWords = {
  ask: Type.Object({ ...server, born: Type.String(), burst: Type.String(), order: Type.Integer({ minimum: 1 }) }, shut),
  /** `term` is how long the loan runs, counted by the borrower from before it asked. */
  asked: Type.Object(
    { ok: Type.Boolean(), slots: Type.Integer({ minimum: 0 }), term: Type.Number({ minimum: 0 }), why: Type.String() },
    shut,
  ),
  /** Said by whoever sees that live work would wait, to the lender and to the borrower. */
  recall: Type.Object(server, shut),
  /** `running` is the weight that was begun and runs on. */
  recalled: Type.Object({ ok: Type.Boolean(), running: Type.Number({ minimum: 0 }) }, shut),
  give: Type.Object({ ...server, running: Type.Number({ minimum: 0 }) }, shut),
  done: Type.Object({ ok: Type.Boolean() }, shut),
};
