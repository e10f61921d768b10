import { Ident, Mark } from '@pumicebarrow/forms';
import { View } from '@pumicebarrow/registry';
import { Type, type Static } from 'typebox';
import { Server } from './server.js';

const strict = { additionalProperties: false } as const;
const Nullable = <Schema extends Parameters<typeof Type.Union>[0][number]>(schema: Schema) =>
  Type.Union([schema, Type.Null()]);

/** What one daemon of a routed fleet says of itself. Every `age` and `silent` is in ms, null where there is none. */
export const DaemonStatus = Type.Object(
  {
    who: Ident,
    state: Type.String(),
    sure: Type.Boolean({ description: 'whether it knows that its configuration is not an older one than it had' }),
    view: Nullable(View),
    head: Type.Boolean({ description: 'whether it is the head and may speak as such at this instant' }),
    configuration: Nullable(
      Type.Object({ revision: Type.Integer(), version: Type.Integer(), age: Type.Number() }, strict),
    ),
    list: Type.Object(
      {
        mark: Nullable(Mark),
        age: Nullable(Type.Number()),
        young: Type.Boolean({ description: 'whether it may be sent by' }),
        servers: Type.Integer(),
      },
      strict,
    ),
    silent: Nullable(Type.Number({ description: 'since the head last replied to it as such' })),
    suspected: Type.Array(Type.String()),
    known: Type.Array(Ident),
    servers: Nullable(Type.Array(Server)),
    orders: Nullable(
      Type.Array(
        Type.Object(
          { server: Type.String(), stage: Type.String(), done: Type.Boolean(), by: Type.String(), mark: Mark },
          strict,
        ),
      ),
    ),
  },
  strict,
);
export type DaemonStatus = Static<typeof DaemonStatus>;
