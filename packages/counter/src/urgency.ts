import type { RunTools } from './runtools.js';

/** What a send says of its urgency. */
export const Urgency = {
  of: (t: Pick<RunTools, 'urgency'>): { urgency?: number } => (t.urgency === undefined ? {} : { urgency: t.urgency }),
};
