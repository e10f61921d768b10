import type { Prompt } from './prompt.js';

const MAX_PREFIXES_PER_SERVER = 4000;

type Prefix = { key: string; tokens: number };
/** Prefixes by key, least recently used first; `totalTokens` is the sum of their tokens. */
type ServerPrefixes = { tokensByKey: Map<string, number>; totalTokens: number; capacityTokens: number };
const insert = (prefixes: ServerPrefixes, key: string, tokens: number): void => {
  prefixes.totalTokens -= prefixes.tokensByKey.get(key) ?? 0;
  prefixes.tokensByKey.delete(key);
  if (tokens > prefixes.capacityTokens) return;
  prefixes.tokensByKey.set(key, tokens);
  prefixes.totalTokens += tokens;
  for (const [evictedKey, evictedTokens] of prefixes.tokensByKey) {
    if (prefixes.totalTokens <= prefixes.capacityTokens && prefixes.tokensByKey.size <= MAX_PREFIXES_PER_SERVER) return;
    prefixes.tokensByKey.delete(evictedKey);
    prefixes.totalTokens -= evictedTokens;
  }
};
const prefixesByParts = new WeakMap<Prompt['parts'], { model: string; prefixes: readonly Prefix[] }>();
/**
 * The prefixes of a prompt, shortest first, computed once per prompt. A part is cacheable only after all parts before
 * it, so a prefix key names the model and all parts up to its end.
 */
const prefixesOf = (prompt: Prompt): readonly Prefix[] => {
  const cached = prefixesByParts.get(prompt.parts);
  if (cached?.model === prompt.model) return cached.prefixes;
  let key = prompt.model;
  let tokens = 0;
  const prefixes = prompt.parts.map((part) => {
    key = `${key}/${part.id}`;
    tokens += part.tokens;
    return { key, tokens };
  });
  prefixesByParts.set(prompt.parts, { model: prompt.model, prefixes });
  return prefixes;
};

/**
 * Estimates which prompt prefixes each server holds in its KV cache, from what was sent there. The estimate only orders
 * choices and never excludes a server. Invariant: bounded per server by the tokens that fit its memory and by a number
 * of entries; the least recently used prefix is dropped first, as at the server.
 */
export const PrefixCacheEstimate = {
  prefixesOf,
  /** Key of the prefix that requests share: all parts but the last. */
  sharedPrefixKey: (p: Prompt): string => prefixesOf(p).at(-2)?.key ?? p.model,
  make(memoryTokens: () => number) {
    const servers = new Map<string, ServerPrefixes>();
    return {
      record(server: string, prompt: Prompt): void {
        let prefixes = servers.get(server);
        if (!prefixes) {
          prefixes = { tokensByKey: new Map(), totalTokens: 0, capacityTokens: Math.max(1, memoryTokens()) };
          servers.set(server, prefixes);
        }
        let precedingTokens = 0;
        for (const prefix of prefixesOf(prompt)) {
          insert(prefixes, prefix.key, Math.max(1, prefix.tokens - precedingTokens));
          precedingTokens = prefix.tokens;
        }
      },
      /** Tokens of the longest prefix that the server probably holds. */
      cachedTokens(server: string, prompt: Prompt): number {
        const tokensByKey = servers.get(server)?.tokensByKey;
        let longest = 0;
        for (const prefix of prefixesOf(prompt)) {
          if (!tokensByKey?.has(prefix.key)) break;
          longest = prefix.tokens;
        }
        return longest;
      },
      /** Drops the estimates of all servers but these. */
      retain(ids: ReadonlySet<string>): void {
        for (const id of servers.keys()) if (!ids.has(id)) servers.delete(id);
      },
    };
  },
};
