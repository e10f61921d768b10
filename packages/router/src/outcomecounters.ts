import type { MetricFamily } from '@pumicebarrow/forms';

type Kind = 'requests' | 'prefills' | 'runs' | 'load_queries';
const HELP: Readonly<Record<Kind, string>> = {
  requests: 'requests by how they ended at this router',
  prefills: 'prompts sent to a prefill server, by outcome',
  runs: 'requests sent to a decode server, by outcome',
  load_queries: 'questions about the loads of all servers, by outcome',
};

/** Counts requests, prefills, decode runs and load queries since the start, by outcome code. */
export const OutcomeCounters = {
  make() {
    const counts: Record<Kind, Map<string, number>> = {
      ...{ requests: new Map(), prefills: new Map(), runs: new Map() },
      load_queries: new Map(),
    };
    const samples = (kind: Kind): MetricFamily['samples'] =>
      [...counts[kind]].map(([outcome, value]) => ({ labels: { outcome }, value }));
    return {
      count(kind: Kind, outcome: string): void {
        counts[kind].set(outcome, (counts[kind].get(outcome) ?? 0) + 1);
      },
      /** A snapshot of the number of requests by outcome. */
      requestsByOutcome: (): ReadonlyMap<string, number> => new Map(counts.requests),
      families: (): MetricFamily[] =>
        (Object.keys(HELP) as Kind[]).map((kind) => ({
          ...{ name: `${kind}_total`, help: HELP[kind], kind: 'counter' as const },
          samples: samples(kind),
        })),
    };
  },
};
