import { Ident, VersionStamp } from '@pumicebarrow/forms';
import { View } from '@pumicebarrow/registry';
import { Type } from 'typebox';

const strict = { additionalProperties: false } as const;
const NullableMark = Type.Union([VersionStamp, Type.Null()]);

/** Rows of server id, runs, prefills, and prompt tokens to prefill in hundreds. */
const LoadRows = Type.Array(Type.Tuple([Type.String(), Type.Integer(), Type.Integer(), Type.Integer()]), {
  maxItems: 4096,
});

/** Schemas of the messages between routers and control replicas, other than those of gossip and the registry. */
export const RouterMessages = {
  /** A router's periodic check-in at the head: the versions that it holds, and its load in progress. */
  checkinRequest: Type.Object(
    {
      version: Type.Integer(),
      list: NullableMark,
      epoch: Type.Integer(),
      peers: Type.String({ description: 'digest of the peers held, so that they are sent again only after a change' }),
      /** Prompt tokens to prefill at prefill servers (`read`) and at decode servers (`beside`), and runs. */
      load: Type.Object({ read: Type.Number(), beside: Type.Number(), run: Type.Number() }, strict),
    },
    strict,
  ),
  /** The head's reply: the newest versions. `age` is the age of the list in ms at the time of the reply. */
  checkinReply: Type.Object(
    {
      ok: Type.Boolean(),
      view: Type.Union([View, Type.Null()]),
      version: Type.Integer(),
      list: NullableMark,
      age: Type.Number(),
      routers: Type.Integer(),
      peers: Type.Union([Type.Array(Ident, { maxItems: 64 }), Type.Null()]),
    },
    strict,
  ),
  /** A router asks another for its server list; a list with the version stamp `mark` need not be sent again. */
  listRequest: Type.Object({ mark: Type.Optional(NullableMark) }, strict),
  /** The list and its age in ms; no rows if the requester already has it. */
  listReply: Type.Object(
    { mark: NullableMark, age: Type.Number(), servers: Type.Union([Type.Unknown(), Type.Null()]) },
    strict,
  ),
  /** Load in progress of one router, by server. */
  loadUpdate: Type.Object({ rows: LoadRows }, strict),
  /** A router's changed rows, or all of them (`whole`), sent to the replica that aggregates loads. */
  ownLoadUpdate: Type.Object({ whole: Type.Boolean(), rows: LoadRows }, strict),
  /** A router asks for the loads of all servers before it chooses one; `list` is the stamp of the list it holds. */
  fleetLoadRequest: Type.Object({ list: NullableMark }, strict),
  /**
   * Load in progress of all routers together, for servers that have any. `places` has four numbers for each server:
   * its index in the requester's list, runs, prefills, and tokens in hundreds. `rows` has the servers that are not in
   * that list.
   */
  fleetLoadReply: Type.Object({ places: Type.Array(Type.Integer(), { maxItems: 16384 }), rows: LoadRows }, strict),
  acknowledgement: Type.Object({ ok: Type.Boolean() }, strict),
};
