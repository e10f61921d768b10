import { Configurations, type Configuration } from '@pumicebarrow/forms';

type Change = { path: string; was: unknown; will: unknown; words: string };

const describe = (value: unknown): string =>
  value === undefined ? 'nothing' : typeof value === 'string' ? value : JSON.stringify(value);
const entriesByKey = (value: unknown): Map<string, unknown> | null => {
  if (Array.isArray(value)) {
    return new Map(
      value.map((x: unknown, i) => {
        const item = x as { id?: string; name?: string };
        return [typeof x === 'object' && x !== null ? (item.id ?? item.name ?? String(i)) : String(x), x];
      }),
    );
  }
  return typeof value === 'object' && value !== null ? new Map(Object.entries(value)) : null;
};
const collectChanges = (path: string, before: unknown, after: unknown, changes: Change[]): void => {
  if (JSON.stringify(before) === JSON.stringify(after)) return;
  const oldEntries = entriesByKey(before),
    newEntries = entriesByKey(after);
  if (oldEntries && newEntries) {
    for (const key of new Set([...oldEntries.keys(), ...newEntries.keys()]))
      collectChanges(`${path}/${key}`, oldEntries.get(key), newEntries.get(key), changes);
    return;
  }
  const words =
    before === undefined
      ? `${path} is new: ${describe(after)}.`
      : after === undefined
        ? `${path} goes; it was ${describe(before)}.`
        : `${path} changes from ${describe(before)} to ${describe(after)}.`;
  changes.push({ path, was: before ?? null, will: after ?? null, words });
};

/** The source of a routing adds nothing to the rest of it. */
const withoutSource = (intent: Configuration): unknown =>
  Configurations.asRouting(intent) ? { ...intent, source: undefined } : intent;

/** What a plan would change, as data and as sentences for operators. */
export const ConfigurationDiff = {
  of(before: Configuration | null, after: Configuration): Change[] {
    const changes: Change[] = [];
    if (before === null)
      return [{ path: '', was: null, will: after, words: 'There is no charter yet; all of this is new.' }];
    collectChanges('', withoutSource(before), withoutSource(after), changes);
    return changes;
  },
};
