import { Crew } from './crew.js';

/** The entry of a worker thread. */
export const Hand = { crew: Crew };
Crew.serve();
