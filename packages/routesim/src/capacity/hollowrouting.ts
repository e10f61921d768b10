import type { Routing } from '@pumicebarrow/forms';

const SERVICES = 8;

/**
 * A configuration of so many routes over eight services; `source` is its text, as an operator would send it. Each
 * revision changes the time of one route, in turn.
 */
export const HollowRouting = {
  make(revision: number, count: number): Routing {
    const services = Array.from({ length: SERVICES }, (_, i) => ({
      ...{ name: `model-${i}`, health: '/health', connections: 200 },
      engine: {
        ...{ slots: 64, memory: 400_000, bytes: 18_432, link: 740_000, hold: 5000, change: 1800 },
        models: [`m${i}`],
      },
    }));
    const turns = (i: number): number => Math.max(0, Math.ceil((revision - i) / count));
    const routes = Array.from({ length: count }, (_, i): Routing['routes'][number] => ({
      ...{ name: `route-${i}`, host: `tenant-${Math.floor(i / SERVICES)}.example`, prefix: `/m${i % SERVICES}/` },
      ...{ kind: 'stream', split: [{ service: `model-${i % SERVICES}`, weight: 1 }], timeout: 60_000 + turns(i) },
      ...{ aim: 570, gap: 72, rank: i % 3, tries: 3, affinity: true, resumable: true },
    }));
    const limits = { header: 16_384, body: 4_194_304, headerWait: 3000, idle: 15_000 };
    return { revision, routes, services, limits, source: { revision, routes, services, limits } };
  },
};
