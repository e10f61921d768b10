import { Intents, type Intent } from '@pumicebarrow/forms';

type Change = { path: string; was: unknown; will: unknown; words: string };

const plain = (v: unknown): string => (v === undefined ? 'nothing' : typeof v === 'string' ? v : JSON.stringify(v));
const keyed = (v: unknown): Map<string, unknown> | null => {
  if (Array.isArray(v)) {
    return new Map(
      v.map((x: unknown, i) => {
        const o = x as { id?: string; name?: string };
        return [typeof x === 'object' && x !== null ? (o.id ?? o.name ?? String(i)) : String(x), x];
      }),
    );
  }
  return typeof v === 'object' && v !== null ? new Map(Object.entries(v)) : null;
};
const walk = (path: string, was: unknown, will: unknown, out: Change[]): void => {
  if (JSON.stringify(was) === JSON.stringify(will)) return;
  const a = keyed(was),
    b = keyed(will);
  if (a && b) {
    for (const k of new Set([...a.keys(), ...b.keys()])) walk(`${path}/${k}`, a.get(k), b.get(k), out);
    return;
  }
  const words =
    was === undefined
      ? `${path} is new: ${plain(will)}.`
      : will === undefined
        ? `${path} goes; it was ${plain(was)}.`
        : `${path} changes from ${plain(was)} to ${plain(will)}.`;
  out.push({ path, was: was ?? null, will: will ?? null, words });
};

/** A routing's source says nothing that the rest of it does not. */
const plainly = (v: Intent): unknown => (Intents.routing(v) ? { ...v, source: undefined } : v);

/** What a plan would change, in JSON and in plain words. */
export const Diff = {
  of(was: Intent | null, will: Intent): Change[] {
    const out: Change[] = [];
    if (was === null) return [{ path: '', was: null, will, words: 'There is no charter yet; all of this is new.' }];
    walk('', plainly(was), plainly(will), out);
    return out;
  },
};
