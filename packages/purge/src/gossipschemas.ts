import { Doc, Ident, VersionStamp, Notice } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import { DocDelta } from './docdelta.js';
import { PeerDescriptor } from './peerdescriptor.js';

const closed = { additionalProperties: false } as const;
const GossipRequest = Type.Object(
  {
    /** Descriptors of peers. */
    ids: Type.Array(PeerDescriptor, { maxItems: 64 }),
    notes: Type.Array(Notice, { maxItems: 64 }),
    /** The digest of all records of the sender. */
    sum: Type.String(),
  },
  closed,
);

/** The schemas of the messages of the gossip protocol. */
export const GossipSchemas = {
  /** The request of a gossip exchange. */
  news: GossipRequest,
  /** The reply of a gossip exchange. */
  reply: Type.Object(
    {
      who: Ident,
      ids: GossipRequest.properties.ids,
      notes: GossipRequest.properties.notes,
      sum: GossipRequest.properties.sum,
    },
    closed,
  ),
  /** A request for a record; `held` has the digests of the chunks that the requester holds. */
  pull: Type.Object({ name: Type.String(), held: Type.Optional(Type.String()) }, closed),
  /** The reply to a pull: the whole record, or a delta. */
  pulled: Type.Object({ doc: Type.Union([Doc, Type.Null()]), part: Type.Optional(DocDelta) }, closed),
  /** A request to compare record stores, with the digest of each range. */
  sums: Type.Object({ sums: Type.Array(Type.String(), { minItems: 8, maxItems: 8 }) }, closed),
  /** The reply to `sums`: the version stamps in the ranges that differ, and the digests of all ranges. */
  marks: Type.Object(
    {
      marks: Type.Array(Type.Object({ name: Type.String(), mark: VersionStamp }, closed)),
      sums: Type.Array(Type.String(), { minItems: 8, maxItems: 8 }),
    },
    closed,
  ),
};
