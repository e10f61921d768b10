import type { MetricFamily } from '@pumicebarrow/forms';
import type { Server } from './server.js';
import type { ServerLoads } from './serverloads.js';

type ServerSource = { all(): readonly Server[] };

/**
 * Metrics of what this router believes to be under way at each server: its own requests, and those that other routers
 * reported.
 */
export const ServerMetrics = {
  make(list: ServerSource, loads: ReturnType<typeof ServerLoads.make>) {
    const gauge = (name: string, help: string, read: (server: Server) => number): MetricFamily => ({
      ...{ name, help, kind: 'gauge' },
      samples: list.all().map((s) => ({
        labels: { server: s.id, stage: s.stage ?? 'none', state: s.state },
        value: Math.round(read(s)),
      })),
    });
    return {
      families: (): MetricFamily[] => [
        gauge('server_prompt_tokens', 'prompt tokens queued to be read', (s) => loads.at(s.id).tokens),
        gauge('server_prefills', 'prompts queued to be read', (s) => loads.at(s.id).reads),
        gauge('server_runs', 'running requests', (s) => loads.at(s.id).runs),
      ],
      text: (): string =>
        list
          .all()
          .map((s) => {
            const { tokens, runs } = loads.at(s.id);
            return `${s.id} ${s.stage ?? ''} ${s.state}: ${Math.round(tokens)} tokens wait, ${Math.round(runs)} runs.`;
          })
          .join(' '),
    };
  },
};
