import { Type, type Static } from 'typebox';

/**
 * Body of the shared record `list`, the server inventory. Rows are tuples, since the list goes to every daemon at each
 * change: id, index into `services`, address, index into `zones`, stage, draining, slots, warming up.
 */
export const ServerListBody = Type.Object(
  {
    rows: Type.Array(
      Type.Tuple([
        Type.String({ maxLength: 120 }),
        Type.Integer({ minimum: 0 }),
        Type.String({ maxLength: 60 }),
        Type.Integer({ minimum: 0 }),
        Type.Integer({ minimum: 0, maximum: 2, description: 'stage: 0 prefill, 1 decode, 2 neither' }),
        Type.Integer({ minimum: 0, maximum: 1, description: '1 draining' }),
        Type.Integer({ minimum: 0, description: 'slots' }),
        Type.Integer({ minimum: 0, maximum: 1, description: '1 warming up' }),
      ]),
      { maxItems: 50000 },
    ),
    services: Type.Array(Type.String({ maxLength: 120 })),
    zones: Type.Array(Type.String({ maxLength: 60 })),
  },
  { additionalProperties: false },
);
export type ServerListBody = Static<typeof ServerListBody>;
