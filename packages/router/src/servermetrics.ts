import type { MetricFamily } from '@pumicebarrow/forms';
import type { Server } from './server.js';
import type { ServerLoads } from './serverloads.js';

type ServerSource = { freshServers(): readonly Server[] };

/**
 * Metrics of what this router believes to be under way at each server: its own requests, and those that other routers
 * reported.
 */
export const ServerMetrics = {
  make(list: ServerSource, loads: ReturnType<typeof ServerLoads.make>) {
    const gauge = (name: string, help: string, read: (server: Server) => number): MetricFamily => ({
      ...{ name, help, kind: 'gauge' },
      samples: list.freshServers().map((s) => ({
        labels: { server: s.id, stage: s.stage ?? 'none', state: s.state },
        value: Math.round(read(s)),
      })),
    });
    return {
      families: (): MetricFamily[] => [
        gauge('server_prompt_tokens', 'prompt tokens that wait to be read', (s) => loads.loadAt(s.id).tokens),
        gauge('server_prefills', 'prompts that wait to be read', (s) => loads.loadAt(s.id).reads),
        gauge('server_runs', 'requests that run', (s) => loads.loadAt(s.id).runs),
      ],
      summary: (): string =>
        list
          .freshServers()
          .map((s) => {
            const { tokens, runs } = loads.loadAt(s.id);
            return `${s.id} ${s.stage ?? ''} ${s.state}: ${Math.round(tokens)} tokens wait, ${Math.round(runs)} run.`;
          })
          .join(' '),
    };
  },
};
