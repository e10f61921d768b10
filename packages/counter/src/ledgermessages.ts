import { Type } from 'typebox';

const strict = { additionalProperties: false } as const;
const attemptFields = { key: Type.String({ maxLength: 120 }), attempt: Type.Integer({ minimum: 1 }) };

/** Schemas of the messages to ledger owners and of their replies. */
export const LedgerMessages = {
  /**
   * `proven`: the sender has proof that earlier attempts did not run. `life` is the incarnation of the owner that the
   * message is meant for; any other records nothing and replies 'unknown'.
   */
  open: Type.Object(
    { ...attemptFields, digest: Type.String(), proven: Type.Boolean(), life: Type.Optional(Type.String()) },
    strict,
  ),
  openReply: Type.Object(
    {
      say: Type.Union([
        Type.Literal('ok'),
        Type.Literal('unknown'),
        Type.Literal('sent'),
        Type.Literal('ran'),
        Type.Literal('twin'),
        Type.Literal('closed'),
        Type.Literal('other'),
      ]),
    },
    strict,
  ),
  step: Type.Object(
    {
      ...attemptFields,
      digest: Type.String(),
      to: Type.Union([Type.Literal('sent'), Type.Literal('closed'), Type.Literal('ran')]),
    },
    strict,
  ),
  stepReply: Type.Object({ ok: Type.Boolean() }, strict),
};
