import type { Rule, Verdict } from '@pumicebarrow/forms';
import type { Service } from 'robot3';
import type { CallerSink } from './callersink.js';
import type { Handle } from './handle.js';
import type { Listed } from './listed.js';
import type { Request } from './request.js';
import type { RequestLife } from './requestlife.js';

/**
 * One request on its way, past its turn and its mark. Invariants: `handle` was given by `reader`, and fits the request;
 * `avoid` only grows; `why` is the verdict if the request is given up now.
 */
export type Trip = {
  v: Request;
  rule: Rule;
  sink: CallerSink;
  due: number;
  /** The request has a server, or never will: its turn at admission is over. */
  settled: () => void;
  life: Service<typeof RequestLife>;
  prefix: string;
  avoid: Set<string>;
  handle: Handle | null;
  reader: Listed | null;
  why: Verdict;
};
