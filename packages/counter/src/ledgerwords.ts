import { Type } from 'typebox';

const shut = { additionalProperties: false } as const;
const base = { key: Type.String({ maxLength: 120 }), attempt: Type.Integer({ minimum: 1 }) };

/** The forms of what is said to ledger owners. */
export const LedgerWords = {
  /** `life` names the owner's life that is meant; another life records nothing and says 'unknown'. */
  open: Type.Object(
    { ...base, digest: Type.String(), proven: Type.Boolean(), life: Type.Optional(Type.String()) },
    shut,
  ),
  opened: Type.Object(
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
    shut,
  ),
  step: Type.Object(
    {
      ...base,
      digest: Type.String(),
      to: Type.Union([Type.Literal('sent'), Type.Literal('closed'), Type.Literal('ran')]),
    },
    shut,
  ),
  stepped: Type.Object({ ok: Type.Boolean() }, shut),
};
