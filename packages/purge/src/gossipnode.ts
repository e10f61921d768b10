import type { Gossip } from './gossip.js';

/** The gossip protocol running in one daemon. */
export type GossipNode = ReturnType<typeof Gossip.make>;
