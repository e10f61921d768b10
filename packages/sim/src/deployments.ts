import type { FleetConfiguration, NamedRoute } from '@pumicebarrow/forms';
import type { Deployment } from './deployment.js';

const rules: NamedRoute[] = [
  { name: 'review', weight: 3, urgency: 2, limit: 30, waitlist: 60, deadline: 8000, pieces: 24, bytes: 65536 },
  { name: 'changelog', weight: 1, urgency: 4, limit: 60, waitlist: 120, deadline: 5000, pieces: 12, bytes: 65536 },
  { name: 'verdict', weight: 1, urgency: 9, limit: 60, waitlist: 60, deadline: 2500, pieces: 2, bytes: 65536 },
];
const names = (stem: string, n: number): string[] => Array.from({ length: n }, (_, i) => `${stem}${i + 1}`);
const charter = (zones: string[], servers: number, slots: number): FleetConfiguration => ({
  sites: zones,
  rules,
  fallback: 'changelog',
  servers: names('m', servers).map((id, i) => ({ id, site: zones[i % zones.length]!, part: 'either' as const, slots })),
  casting: { prefill: Math.max(2, Math.round(servers / 3)), floor: { prefill: 1, decode: 2 }, swing: true, calm: 5000 },
});
const make = (
  name: string,
  edges: number,
  zones: number,
  servers: number,
  rate: number,
  diskPace: number,
): Deployment => {
  const list = names('s', zones);
  return { name, edges, cores: 3, zones: list, servers, slots: 8, rate, diskPace, charter: charter(list, servers, 8) };
};

/** The two deployments of the brief. */
export const Deployments: Record<'coop' | 'registry', Deployment> = {
  coop: make('coop', 7, 3, 6, 12, 2),
  registry: make('registry', 9, 4, 12, 24, 6),
};
