import type { Tunes } from './tunes.js';

/** The default parameters of the gossip protocol. */
export const Tuned: Tunes = { ids: 10, notes: 5, idLength: 1, noteLength: 3, round: 150, unlike: 3 };
