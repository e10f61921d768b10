import type { GossipSettings } from './gossipsettings.js';

/** The default parameters of the gossip protocol. */
export const GossipDefaults: GossipSettings = { ids: 10, notes: 5, idLength: 1, noteLength: 3, round: 150, unlike: 3 };
