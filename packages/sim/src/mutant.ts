type Next = (url: string, context: unknown) => Promise<{ source: string | Buffer }>;

const told = new URL(import.meta.url).searchParams;
const file = told.get('file') ?? '',
  from = told.get('from') ?? '',
  to = told.get('to') ?? '';

const escaped = (s: string): string => s.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
/** White space in a guard's text stands for any, so that the code may be laid out anew. */
const find = new RegExp(from.split(/\s+/).map(escaped).join('\\s*'), 'g');

/**
 * A loader that takes one guard out of the code as it is loaded. Invariant: the guard's text stands there just
 * once.
 */
export const load = async (url: string, context: unknown, next: Next): Promise<{ source: string | Buffer }> => {
  const got = await next(url, context);
  if (file === '' || !url.endsWith(file)) return got;
  const text = String(got.source);
  if (text.match(find)?.length !== 1) throw new Error(`${file} does not have this text just once: ${from}`);
  return { ...got, source: text.replace(find, () => to) };
};
