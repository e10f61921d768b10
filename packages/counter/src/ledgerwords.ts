import { Type } from 'typebox';

const strict = { additionalProperties: false } as const;
const attemptFields = { key: Type.String({ maxLength: 120 }), attempt: Type.Integer({ minimum: 1 }) };

/** The forms of what is said to ledger owners. */
export const LedgerMessages = {
  /** `life` names the owner's life that is meant; another life records nothing and says 'unknown'. */
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
