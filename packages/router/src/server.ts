import { Type, type Static } from 'typebox';

/**
 * One model server as the platform lists it. Every start of a server is a new incarnation with a new `id`; an address
 * may be reused.
 */
export const Server = Type.Object(
  {
    id: Type.String({ minLength: 1, maxLength: 120 }),
    service: Type.String({ maxLength: 120 }),
    addr: Type.String({ maxLength: 60 }),
    zone: Type.String({ maxLength: 60 }),
    state: Type.Union([Type.Literal('ready'), Type.Literal('draining')]),
    stage: Type.Union([Type.Literal('prefill'), Type.Literal('decode'), Type.Null()]),
    slots: Type.Integer({ minimum: 0 }),
    warm: Type.Number({ minimum: 0, description: 'remaining warm-up in ms, from when the list was requested' }),
  },
  { additionalProperties: false },
);
export type Server = Static<typeof Server>;
