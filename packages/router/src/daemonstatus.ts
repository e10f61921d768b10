import { Ident, VersionStamp } from '@pumicebarrow/forms';
import { View } from '@pumicebarrow/registry';
import { Type, type Static } from 'typebox';
import { Server } from './server.js';

const strict = { additionalProperties: false } as const;
const Nullable = <Schema extends Parameters<typeof Type.Union>[0][number]>(schema: Schema) =>
  Type.Union([schema, Type.Null()]);

/**
 * Status that a router or control replica reports about itself. Every `age` and `silent` is in ms, or null if it does
 * not apply.
 */
export const DaemonStatus = Type.Object(
  {
    /** Identity of the daemon. */
    who: Ident,
    state: Type.String(),
    sure: Type.Boolean({
      description: 'whether its configuration is confirmed to be at least as new as any it held before',
    }),
    view: Nullable(View),
    head: Type.Boolean({ description: 'whether it is the head and holds the lease for it now' }),
    configuration: Nullable(
      Type.Object({ revision: Type.Integer(), version: Type.Integer(), age: Type.Number() }, strict),
    ),
    list: Type.Object(
      {
        /** Version stamp of the list. */
        mark: Nullable(VersionStamp),
        age: Nullable(Type.Number()),
        young: Type.Boolean({ description: 'whether it is recent enough to route requests by' }),
        servers: Type.Integer(),
      },
      strict,
    ),
    silent: Nullable(Type.Number({ description: 'time since the head last replied to it under a valid lease' })),
    /** Ids of servers that failed and have not recovered. */
    suspected: Type.Array(Type.String()),
    /** Other daemons that it knows. */
    known: Type.Array(Ident),
    servers: Nullable(Type.Array(Server)),
    /** Stage changes that have been ordered; `by` is the replica that ordered them. */
    orders: Nullable(
      Type.Array(
        Type.Object(
          { server: Type.String(), stage: Type.String(), done: Type.Boolean(), by: Type.String(), mark: VersionStamp },
          strict,
        ),
      ),
    ),
  },
  strict,
);
export type DaemonStatus = Static<typeof DaemonStatus>;
