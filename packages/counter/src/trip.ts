import type { Rule, Verdict } from '@pumicebarrow/forms';
import type { Service } from 'robot3';
import type { CallerSink } from './callersink.js';
import type { Handle } from './handle.js';
import type { Listed } from './listed.js';
import type { Request } from './request.js';
import type { RequestLife } from './requestlife.js';

/**
 * A request that has been admitted and recorded as sent by the ledger's owners. Invariants: `handle` was issued by the
 * prefill server named beside it, and fits the request; servers are only ever added to those excluded; `failure` is the
 * verdict if the request is given up now.
 */
export type Trip = {
  v: Request;
  rule: Rule;
  sink: CallerSink;
  /** Deadline of the first piece, in monotonic ms. */
  due: number;
  /** Called once the request has a server, or has failed: releases what admission reserved for it. */
  settled: () => void;
  /** State machine of the request. */
  life: Service<typeof RequestLife>;
  /** Hash of the prompt's prefix. */
  prefix: string;
  /** Servers that have failed for this request. */
  avoid: Set<string>;
  /** Handle of the KV cache that prefill has produced. */
  handle: Handle | null;
  /** The server that has run prefill. */
  reader: Listed | null;
  why: Verdict;
};
