import { Ident, Mark } from '@pumicebarrow/forms';
import { View } from '@pumicebarrow/registry';
import { Type } from 'typebox';

const strict = { additionalProperties: false } as const;
const NullableMark = Type.Union([Mark, Type.Null()]);

/** Server, runs, reads, and hundreds of tokens to be read. */
const LoadRows = Type.Array(Type.Tuple([Type.String(), Type.Integer(), Type.Integer(), Type.Integer()]), {
  maxItems: 4096,
});

/** What routers and control replicas say to each other, beside purge and the core's own words. */
export const Words = {
  /** A router tells what it holds. */
  checkinRequest: Type.Object(
    {
      version: Type.Integer(),
      list: NullableMark,
      epoch: Type.Integer(),
      peers: Type.String({ description: 'digest of the peers held, so that they come again only when they changed' }),
      load: Type.Object({ read: Type.Number(), beside: Type.Number(), run: Type.Number() }, strict),
    },
    strict,
  ),
  /** The head says whether that is the newest; `age` is of the list, in ms at the moment of the reply. */
  checked: Type.Object(
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
  /** A router asks another for its list; one that is held under this mark need not come again. */
  ask: Type.Object({ mark: Type.Optional(NullableMark) }, strict),
  /** The list and its age; where it is the one held, its mark and no rows. */
  list: Type.Object(
    { mark: NullableMark, age: Type.Number(), servers: Type.Union([Type.Unknown(), Type.Null()]) },
    strict,
  ),
  /** What a router has under way at servers, in rows of id, runs, reads, tokens. */
  loads: Type.Object({ rows: LoadRows }, strict),
  /** The rows of a router that changed, or all of them, as they are now, to the member that adds up loads. */
  ownLoads: Type.Object({ whole: Type.Boolean(), rows: LoadRows }, strict),
  /** A router asks for the loads of all servers before it chooses one, and says which list it holds. */
  askLoads: Type.Object({ list: NullableMark }, strict),
  /**
   * What all routers together have under way, at the servers where that is anything: by places in the list of that
   * mark, in fours of place, runs, reads and hundreds of tokens, and by name those that it does not show.
   */
  allLoads: Type.Object({ places: Type.Array(Type.Integer(), { maxItems: 16384 }), rows: LoadRows }, strict),
  acknowledgement: Type.Object({ ok: Type.Boolean() }, strict),
};
