import { Type, type Static } from 'typebox';

/** Servers of one kind, and the facts of their engines that choosing among them needs. */
export const Service = Type.Object(
  {
    name: Type.String({ minLength: 1, maxLength: 120 }),
    health: Type.String({ maxLength: 1024 }),
    connections: Type.Integer({ minimum: 1, description: 'that one server takes from all callers' }),
    engine: Type.Union([
      Type.Null(),
      Type.Object(
        {
          slots: Type.Integer({ minimum: 1 }),
          memory: Type.Number({ minimum: 0, description: 'tokens that fit' }),
          bytes: Type.Number({ minimum: 0, description: 'of one token in memory' }),
          link: Type.Number({ minimum: 0, description: 'Mbit/s between servers' }),
          hold: Type.Number({ minimum: 0, description: 'ms that a handle is held' }),
          change: Type.Number({ minimum: 0, description: 'ms that a change of stage takes' }),
          models: Type.Array(Type.String({ maxLength: 120 }), { maxItems: 64 }),
        },
        { additionalProperties: false },
      ),
    ]),
  },
  { additionalProperties: false },
);
export type Service = Static<typeof Service>;
