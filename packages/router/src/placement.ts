import { Lot, type Chance, type Route, type Service } from '@pumicebarrow/forms';
import { KeptParts } from './keptparts.js';
import type { Prompt } from './prompt.js';
import type { Server } from './server.js';
import type { ServerHealth } from './serverhealth.js';
import type { ServerListing } from './serverlisting.js';
import type { ServerLoads } from './serverloads.js';
import { Urgency } from './urgency.js';
import type { Weighed } from './weighed.js';

type Tools = {
  chance: Chance;
  zone: string;
  list: ServerListing;
  loads: ReturnType<typeof ServerLoads.make>;
  health: ReturnType<typeof ServerHealth.make>;
  kept: ReturnType<typeof KeptParts.make>;
  /** Whether the sheet says, at this instant, that a server was ordered to another stage than the list shows. */
  changing: () => (s: Server) => boolean;
  /** Prompt tokens that a server reads in a ms, as learnt. */
  pace: () => number;
  /** Whether a request there needs no new connection. */
  linked: (s: Server) => boolean;
  /** How much longer than foreseen a server takes. */
  speed: (id: string) => number;
  /** ms that reads lately waited beyond what was foreseen. */
  wait: () => number;
};
const NONE: ReadonlySet<string> = new Set();
const UNWEIGHED: Weighed = { read: null, ms: 0, alone: 0, reading: null };
type Choice = { s: Server; ms: number };
/** A decode server reads at this part of the pace, between the tokens of others. */
const BESIDE = 0.5;
/** Prompts with fewer tokens to read than this are read where they are decoded, unless that is busy reading. */
const SHORT = 1000;
/** What a hand-over takes, in ms; and what one ms of reading beside others is held to cost, in ms of waiting. */
const HAND = 25;
const DISTURB = 1.6;
/** ms from a run's start to its first event. */
const START = 45;
/** Each so many runs at a server make reading beside them as costly again. */
const CROWD = 16;
/** From so many runs on a decode server reads nothing beside them: each piece read holds all of them up. */
const CROWDED = 20;
/** The part of a server's slots that runs may take: beyond it all of them come too slowly. */
const FULL = 0.7;
/** Outcomes of fewer tokens than this hardly take a place. */
const BRIEF = 200;
/** The part of the aim within which a prefix stays at its home although another server would be sooner. */
const CALM = 0.75;
/** ms that one shared token, read again where its home has it, is held to cost: it is work taken from others. */
const AGAIN = 0.1;
/** The part of such work that each read waiting at the server is held to lose by it. */
const DELAYED = 0.5;
/** ms that another zone than ours is held to cost. */
const FAR = 4;
const WARM = 80;
/** The part of a server's slots that a new connection to it is held to cost: each is paid for, and few see all. */
const CONNECT = 0.04;
/** Words of others bar no server where fewer than this part of a stage would be left. */
const HEEDED = 0.5;
/** What an idle decode server is held to be busy, so that a slow one is not taken for a quick one while idle. */
const IDLE = 0.08;

/**
 * Which servers read and decode a request. Invariants: only servers that a list young at this instant shows ready are
 * named; one under suspicion is named only where no other is left. A prefix has one home among the servers of a stage,
 * by rendezvous, the same for every router; a request leaves it only where waiting there would put its aim at risk.
 */
export const Placement = {
  FULL,
  make(t: Tools) {
    const candidates = (service: Service, stage: Server['stage'], not: ReadonlySet<string>): Server[] => {
      const changing = t.changing();
      const all = t.list
        .all()
        .filter(
          (s) =>
            s.service === service.name && s.state === 'ready' && s.stage === stage && !not.has(s.id) && !changing(s),
        );
      const well = all.filter((s) => t.health.open(s.id));
      if (well.length >= all.length * HEEDED) return well;
      const fair = all.filter((s) => t.health.fair(s.id));
      return fair.length > 0 ? fair : all;
    };
    const cheapest = (list: readonly Server[], cost: (s: Server) => number): Choice | null => {
      let best: Choice | null = null;
      for (const s of list) {
        const ms = cost(s) + t.chance.real() * 0.01;
        if (!best || ms < best.ms) best = { s, ms };
      }
      return best;
    };
    const sharedOf = (p: Prompt): number => p.tokens - (p.parts.at(-1)?.tokens ?? p.tokens);
    /** Tokens that a server would have to read, if the home of a prefix holds it. */
    const tokensToRead = (s: Server, p: Prompt, home: Server | undefined): number =>
      Math.max(1, p.tokens - Math.max(t.kept.held(s.id, p), s === home ? sharedOf(p) : 0));
    /** Shared tokens that would be read again there. */
    const sharedTokensReadAgain = (s: Server, p: Prompt, home: Server | undefined): number =>
      s === home ? 0 : Math.max(0, sharedOf(p) - t.kept.held(s.id, p));
    const entryCost = (s: Server): number => (s.warm > 0 ? WARM : 0) + (s.zone === t.zone ? 0 : FAR);
    /** Where it would be read soonest, and when; the home, if that is soon enough. */
    const choosePrefill = (service: Service, route: Route, p: Prompt, not: ReadonlySet<string>) => {
      const list = candidates(service, 'prefill', not);
      const home = Lot.first(KeptParts.home(p), list, (s) => s.id);
      const ms = (s: Server): number =>
        ((t.loads.at(s.id).tokens + tokensToRead(s, p, home)) / t.pace()) * t.speed(s.id) + entryCost(s);
      const cost = (s: Server): number => AGAIN + (t.loads.at(s.id).reads * DELAYED) / t.pace();
      const best = cheapest(list, (s) => ms(s) + sharedTokensReadAgain(s, p, home) * cost(s));
      if (!home || !best) return null;
      const there = ms(home);
      const chosen = there <= route.aim * CALM ? { s: home, ms: there } : best;
      return { ...chosen, fresh: tokensToRead(chosen.s, p, home), home: chosen.s === home };
    };
    const chooseDecode = (service: Service, p: Prompt | null, from: Server | null, not: ReadonlySet<string>) => {
      const list = candidates(service, service.engine ? 'decode' : null, not);
      const near = from?.zone ?? t.zone;
      const most = Math.max(1, service.engine?.slots ?? 1);
      // Long shared parts are read by readers: a decode server has one only where it was seen to.
      const home = p && !from && sharedOf(p) < SHORT ? Lot.first(KeptParts.home(p), list, (s) => s.id) : undefined;
      const best = cheapest(list, (s) => {
        const { runs, tokens } = t.loads.at(s.id);
        const busy = runs / Math.max(1, s.slots || most) + tokens / (t.pace() * BESIDE * 1000);
        const link = t.linked(s) ? 0 : CONNECT;
        const own = p && !from ? tokensToRead(s, p, home) / (t.pace() * BESIDE * 1000) : 0;
        return (busy + own + IDLE) * t.speed(s.id) + (s.zone === near ? 0 : 0.12) + (s.warm > 0 ? 0.5 : 0) + link;
      });
      if (!best || !p || from) return best;
      const { runs, tokens } = t.loads.at(best.s.id);
      const work = tokensToRead(best.s, p, home) * DISTURB * (1 + runs / CROWD);
      // A part that is short has no home worth keeping to among decode servers.
      const more = sharedTokensReadAgain(best.s, p, home) * AGAIN;
      return { s: best.s, ms: (tokens + work) / (t.pace() * BESIDE) + more };
    };
    return {
      /** Whether some server has a place for one more run that is not brief. */
      room(service: Service, p: Prompt | null): boolean {
        if (!service.engine || !p || p.most < BRIEF) return true;
        const list = candidates(service, 'decode', NONE);
        const most = service.engine.slots;
        return list.length === 0 || list.some((s) => t.loads.at(s.id).runs < (s.slots || most) * FULL);
      },
      /** Where it is to be read first, and when it would begin; looked at once for both. */
      weigh(service: Service, route: Route, p: Prompt, not: ReadonlySet<string>): Weighed {
        const apart = service.engine ? choosePrefill(service, route, p, not) : null;
        const beside = service.engine ? chooseDecode(service, p, null, not) : null;
        if (!beside) return UNWEIGHED;
        if (!apart) {
          const pace = t.pace() * BESIDE;
          const own = p.tokens - t.kept.held(beside.s.id, p);
          return {
            ...UNWEIGHED,
            reading: { waits: t.loads.at(beside.s.id).tokens / pace, own: own / pace, beside: true },
          };
        }
        const crowded = t.loads.at(beside.s.id).runs >= CROWDED;
        const short = t.kept.held(beside.s.id, p) + SHORT > p.tokens;
        // What a decode server has to read is better known than what waits at readers, of which others know the most.
        const there = apart.ms + HAND + t.wait();
        const bar = short ? there + SHORT / t.pace() : there;
        const read = { server: apart.s, fresh: apart.fresh, home: apart.home };
        const alone = apart.fresh / t.pace() + HAND + START;
        // What takes next to nothing is read before all that waits: the queue doesn't make it late.
        const soon = apart.fresh / t.pace() < Urgency.TINY;
        const ms = (crowded ? apart.ms : Math.min(apart.ms, beside.ms)) + HAND + START;
        const waits = t.loads.at(apart.s.id).tokens / t.pace();
        const reading = { waits, own: apart.fresh / t.pace(), beside: false };
        const readBeside = !crowded && beside.ms <= bar;
        return {
          read: readBeside ? null : read,
          ms: soon ? Math.min(ms, alone) : ms,
          alone,
          reading: readBeside ? null : reading,
        };
      },
      /** Where it is decoded: few under way, near the memory. */
      decode: (service: Service, p: Prompt | null, from: Server | null, not: ReadonlySet<string>): Server | null =>
        chooseDecode(service, p, from, not)?.s ?? null,
      /** Tokens that the server must read if it is given the prompt without its memory. */
      fresh: (s: Server, p: Prompt): number => Math.max(1, p.tokens - t.kept.held(s.id, p)),
    };
  },
};
