import type { Rule, Verdict } from '@pumicebarrow/forms';
import type { Service } from 'robot3';
import type { CallerSink } from './callersink.js';
import type { Handle } from './handle.js';
import type { Listed } from './listed.js';
import type { Visit } from './visit.js';
import type { VisitLife } from './visitlife.js';

/**
 * One visit on its way, past its turn and its mark. Invariants: `handle` was given by `reader`, and fits the visit;
 * `avoid` only grows; `why` is the verdict if the visit is given up now.
 */
export type Trip = {
  v: Visit;
  rule: Rule;
  sink: CallerSink;
  /** The pieces that an earlier stream brought, from the first; none for a visit that begins. */
  begun: readonly string[];
  due: number;
  /** The visit has a server, or never will: its turn at admission is over. */
  settled: () => void;
  life: Service<typeof VisitLife>;
  prefix: string;
  avoid: Set<string>;
  handle: Handle | null;
  reader: Listed | null;
  why: Verdict;
};
