import { Type } from 'typebox';

const closed = { additionalProperties: false } as const;
const server = { server: Type.String({ maxLength: 60 }) };

/** Schemas of the messages between borrower and lender. */
export const LoanMessages = {
  /** Request or renewal of a loan; `born` is the server's incarnation, `order` the burst's place among all bursts. */
  ask: Type.Object(
    { ...server, born: Type.String(), burst: Type.String(), order: Type.Integer({ minimum: 1 }) },
    closed,
  ),
  /** `term` is the duration of the loan in ms, counted by the borrower from before it sent the request. */
  askReply: Type.Object(
    { ok: Type.Boolean(), slots: Type.Integer({ minimum: 0 }), term: Type.Number({ minimum: 0 }), why: Type.String() },
    closed,
  ),
  /** Sent by any daemon whose live requests would have to wait, to the lender and to the borrower. */
  recall: Type.Object(server, closed),
  /** `running` is the weight of the requests that were started and still run. */
  recallReply: Type.Object({ ok: Type.Boolean(), running: Type.Number({ minimum: 0 }) }, closed),
  /** Return of a loan; `running` as above. */
  give: Type.Object({ ...server, running: Type.Number({ minimum: 0 }) }, closed),
  giveReply: Type.Object({ ok: Type.Boolean() }, closed),
};
