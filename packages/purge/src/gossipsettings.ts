import { Type, type Static } from 'typebox';

/**
 * The parameters of the gossip protocol. The defaults are the tuned values of the paper, except for 3 notices per
 * message and the period of the rounds, which are our own.
 */
export const GossipSettings = Type.Object(
  {
    /** Size of the peer cache. */
    ids: Type.Integer({ minimum: 2, maximum: 64, default: 10 }),
    /** Size of the notice cache. */
    notes: Type.Integer({ minimum: 1, maximum: 64, default: 5 }),
    /** Peer descriptors per message. */
    idLength: Type.Integer({ minimum: 1, maximum: 16, default: 1 }),
    /** Notices per message. */
    noteLength: Type.Integer({ minimum: 1, maximum: 16, default: 3 }),
    /** Period of the gossip rounds, in ms. */
    round: Type.Integer({ minimum: 20, maximum: 60000, default: 150 }),
    unlike: Type.Integer({
      minimum: 0,
      maximum: 1000,
      default: 3,
      description: 'consecutive rounds with differing digests before ranges are compared; 0 for never',
    }),
  },
  { additionalProperties: false },
);
export type GossipSettings = Static<typeof GossipSettings>;
