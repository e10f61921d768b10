import { Lot, type Chance, type Service } from '@pumicebarrow/forms';
import { KeptParts } from './keptparts.js';
import type { Prompt } from './prompt.js';
import type { Server } from './server.js';
import type { ServerHealth } from './serverhealth.js';
import type { ServerListing } from './serverlisting.js';
import type { ServerLoads } from './serverloads.js';

type Tools = {
  chance: Chance;
  zone: string;
  list: ServerListing;
  loads: ReturnType<typeof ServerLoads.make>;
  health: ReturnType<typeof ServerHealth.make>;
  kept: ReturnType<typeof KeptParts.make>;
  /** Prompt tokens that a server reads in a ms, as learnt. */
  pace: () => number;
};
/** Prompts with fewer tokens to read than this are read where they are decoded. */
const SHORT = 1000;
/** ms of waiting that a prefix's home is worth beyond what it saves. */
const HOME = 4;
/** ms that reading in another zone than ours, and moving memory to another zone, are held to cost. */
const FAR = 6;
const WARM = 60;

/**
 * Which servers read and decode a request. Invariants: only servers that a list young at this instant shows ready are
 * named; one under suspicion is named only where no other is left.
 */
export const Placement = {
  make(t: Tools) {
    const able = (service: Service, stage: Server['stage'], not: ReadonlySet<string>): Server[] => {
      const all = t.list
        .all()
        .filter((s) => s.service === service.name && s.state === 'ready' && s.stage === stage && !not.has(s.id));
      const well = all.filter((s) => t.health.open(s.id));
      return well.length > 0 ? well : all;
    };
    const least = (list: readonly Server[], cost: (s: Server) => number): Server | null => {
      let best: { s: Server; c: number } | null = null;
      for (const s of list) {
        const c = cost(s) + t.chance.real() * 0.01;
        if (!best || c < best.c) best = { s, c };
      }
      return best?.s ?? null;
    };
    return {
      /** Whether the prompt is long enough to be read by a prefill server. */
      split: (p: Prompt | null, service: Service): boolean =>
        p !== null && service.engine !== null && p.tokens >= SHORT,
      /** Where it would be read soonest: what waits there, what must still be read, and the prefix's home. */
      prefill(service: Service, p: Prompt, not: ReadonlySet<string>): Server | null {
        const list = able(service, 'prefill', not);
        const home = Lot.rank(KeptParts.home(p), list, (s) => s.id)[0];
        const shared = p.tokens - (p.parts.at(-1)?.tokens ?? p.tokens);
        return least(list, (s) => {
          const held = Math.max(t.kept.held(s.id, p), s === home ? shared : 0);
          const work = t.loads.at(s.id).tokens + Math.max(0, p.tokens - held);
          return work / t.pace() + (s === home ? -HOME : 0) + (s.zone === t.zone ? 0 : FAR) + (s.warm > 0 ? WARM : 0);
        });
      },
      /** Where it is decoded: few under way, near the memory, perhaps with the prefix at hand. */
      decode(service: Service, p: Prompt | null, from: Server | null, not: ReadonlySet<string>): Server | null {
        const list = able(service, service.engine ? 'decode' : null, not);
        const near = from?.zone ?? t.zone;
        const most = Math.max(1, service.engine?.slots ?? 1);
        const home = p && !from ? Lot.rank(KeptParts.home(p), list, (s) => s.id)[0] : null;
        return least(list, (s) => {
          const slots = Math.max(1, s.slots || most);
          const busy = t.loads.at(s.id).runs / slots;
          const far = s.zone === near ? 0 : 0.12;
          return busy + far + (s.warm > 0 ? 0.5 : 0) - (s === home ? 0.03 : 0);
        });
      },
    };
  },
};
