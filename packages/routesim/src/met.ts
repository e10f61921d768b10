import { Bounds } from './bounds.js';
import type { Seen } from './seen.js';

type Meets = (seen: readonly Seen[]) => boolean;

/** What a drill must have brought about. */
export const Met = {
  /** Answers were lost of requests that had begun to run and may run once only. */
  lost:
    (least: number): Meets =>
    (seen) => {
      const once = new Set(
        seen.flatMap((x) => (x.what === 'sent' && x.kind !== 'idempotent' && !x.resumable ? [x.id] : [])),
      );
      const ran = new Set(seen.flatMap((x) => (x.what === 'ran' ? [x.id] : [])));
      return seen.filter((x) => x.what === 'spoilt' && once.has(x.id) && ran.has(x.id)).length >= least;
    },
  /** One router went on by a configuration for a while after another had a newer one in force. */
  beside: (seen: readonly Seen[]): boolean => {
    const paths = new Map(seen.flatMap((x) => (x.what === 'sent' ? [[x.id, x.path] as const] : [])));
    const number = (id: string): number => Number(/^\/mark-(\d+)\//.exec(paths.get(id) ?? '')?.[1] ?? 0);
    const runs = seen.flatMap((x) => (x.what === 'ran' ? [{ ...x, n: number(x.id) }] : [])).filter((x) => x.n > 0);
    return runs.some((x) => runs.some((y) => y.n > x.n && y.at < x.at - Bounds.revert && y.router !== x.router));
  },
  what:
    (what: Seen['what'], least = 1): Meets =>
    (seen) =>
      seen.filter((x) => x.what === what).length >= least,
  kind:
    (kind: string): Meets =>
    (seen) =>
      seen.some((x) => x.what === 'trouble' && x.kind === kind && x.ids.length > 0),
  listed:
    (state: 'draining' | 'gone', least = 1): Meets =>
    (seen) =>
      seen.filter((x) => x.what === 'listed' && x.state === state).length >= least,
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
