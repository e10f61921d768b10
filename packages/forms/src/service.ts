import { Type, type Static } from 'typebox';

/** A group of equivalent servers, with the properties of their engine that placement needs. */
export const Service = Type.Object(
  {
    name: Type.String({ minLength: 1, maxLength: 120 }),
    /** The path of the health check. */
    health: Type.String({ maxLength: 1024 }),
    connections: Type.Integer({ minimum: 1, description: 'maximum connections that one server accepts in total' }),
    engine: Type.Union([
      Type.Null(),
      Type.Object(
        {
          slots: Type.Integer({ minimum: 1 }),
          memory: Type.Number({ minimum: 0, description: 'capacity of the KV cache in tokens' }),
          bytes: Type.Number({ minimum: 0, description: 'size of one token in the KV cache' }),
          link: Type.Number({ minimum: 0, description: 'Mbit/s between servers' }),
          hold: Type.Number({ minimum: 0, description: 'ms that a KV-cache handle is held' }),
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
