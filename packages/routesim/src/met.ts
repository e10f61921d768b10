import type { Seen } from './seen.js';

type Meets = (seen: readonly Seen[]) => boolean;

/** What a drill must have brought about. */
export const Met = {
  what:
    (what: Seen['what']): Meets =>
    (seen) =>
      seen.some((x) => x.what === what),
  kind:
    (kind: string): Meets =>
    (seen) =>
      seen.some((x) => x.what === 'trouble' && x.kind === kind && x.ids.length > 0),
  listed:
    (state: 'draining' | 'gone'): Meets =>
    (seen) =>
      seen.some((x) => x.what === 'listed' && x.state === state),
  turned:
    (turned: 'taken' | 'refused' | 'misdirected'): Meets =>
    (seen) =>
      seen.some((x) => x.what === 'arrived' && x.turned === turned),
  outcome:
    (outcome: string): Meets =>
    (seen) =>
      seen.some((x) => x.what === 'answered' && x.outcome === outcome),
  ruled:
    (outcome: string, least = 1): Meets =>
    (seen) =>
      seen.filter((x) => x.what === 'ruled' && x.outcome === outcome).length >= least,
};
