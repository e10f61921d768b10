import type { Prompt } from './prompt.js';

const MOST = 4000;

type Link = { key: string; tokens: number };
/** Parts by name, the least lately used first; `sum` is of their tokens. */
type Kept = { parts: Map<string, number>; sum: number; most: number };
const put = (kept: Kept, key: string, tokens: number): void => {
  kept.sum -= kept.parts.get(key) ?? 0;
  kept.parts.delete(key);
  if (tokens > kept.most) return;
  kept.parts.set(key, tokens);
  kept.sum += tokens;
  for (const [old, n] of kept.parts) {
    if (kept.sum <= kept.most && kept.parts.size <= MOST) return;
    kept.parts.delete(old);
    kept.sum -= n;
  }
};
const made = new WeakMap<Prompt['parts'], { model: string; links: readonly Link[] }>();
/** The names of a prompt's prefixes, the shortest first; a part counts only behind all parts before it. Made once. */
const chain = (p: Prompt): readonly Link[] => {
  const old = made.get(p.parts);
  if (old?.model === p.model) return old.links;
  let key = p.model;
  let tokens = 0;
  const links = p.parts.map((part) => {
    key = `${key}/${part.id}`;
    tokens += part.tokens;
    return { key, tokens };
  });
  made.set(p.parts, { model: p.model, links });
  return links;
};

/**
 * Which prefixes each server probably holds, by what was sent there. A guess: it orders choices and bars none.
 * Invariant: bounded for each server by the tokens that fit its memory and by a number of entries; the least lately
 * used goes first, as at the server.
 */
export const KeptParts = {
  chain,
  /** The prefix that requests share: all but the last part. */
  home: (p: Prompt): string => chain(p).at(-2)?.key ?? p.model,
  make(memory: () => number) {
    const servers = new Map<string, Kept>();
    return {
      note(server: string, p: Prompt): void {
        let kept = servers.get(server);
        if (!kept) {
          kept = { parts: new Map(), sum: 0, most: Math.max(1, memory()) };
          servers.set(server, kept);
        }
        let before = 0;
        for (const c of chain(p)) {
          put(kept, c.key, Math.max(1, c.tokens - before));
          before = c.tokens;
        }
      },
      /** Tokens of the longest prefix that the server probably holds. */
      held(server: string, p: Prompt): number {
        const parts = servers.get(server)?.parts;
        let best = 0;
        for (const c of chain(p)) {
          if (!parts?.has(c.key)) break;
          best = c.tokens;
        }
        return best;
      },
      only(ids: ReadonlySet<string>): void {
        for (const id of servers.keys()) if (!ids.has(id)) servers.delete(id);
      },
    };
  },
};
