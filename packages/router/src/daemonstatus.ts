import { Ident, Mark } from '@pumicebarrow/forms';
import { View } from '@pumicebarrow/registry';
import { Type, type Static } from 'typebox';
import { Server } from './server.js';

const shut = { additionalProperties: false } as const;
const Maybe = <T extends Parameters<typeof Type.Union>[0][number]>(form: T) => Type.Union([form, Type.Null()]);

/** What one daemon of a routed fleet says of itself. Every `age` and `silent` is in ms, null where there is none. */
export const DaemonStatus = Type.Object(
  {
    who: Ident,
    state: Type.String(),
    sure: Type.Boolean({ description: 'whether it knows that its configuration is not an older one than it had' }),
    view: Maybe(View),
    head: Type.Boolean({ description: 'whether it is the head and may speak as such at this instant' }),
    configuration: Maybe(Type.Object({ revision: Type.Integer(), version: Type.Integer(), age: Type.Number() }, shut)),
    list: Type.Object(
      {
        mark: Maybe(Mark),
        age: Maybe(Type.Number()),
        young: Type.Boolean({ description: 'whether it may be sent by' }),
        servers: Type.Integer(),
      },
      shut,
    ),
    silent: Maybe(Type.Number({ description: 'since the head last replied to it as such' })),
    suspected: Type.Array(Type.String()),
    known: Type.Array(Ident),
    servers: Maybe(Type.Array(Server)),
    orders: Maybe(
      Type.Array(
        Type.Object(
          { server: Type.String(), stage: Type.String(), done: Type.Boolean(), by: Type.String(), mark: Mark },
          shut,
        ),
      ),
    ),
  },
  shut,
);
export type DaemonStatus = Static<typeof DaemonStatus>;
