import { RendezvousHash, type RandomSource, type Route, type Service } from '@pumicebarrow/forms';
import { PrefixCacheEstimate } from './prefixcacheestimate.js';
import type { Prompt } from './prompt.js';
import type { Server } from './server.js';
import type { ServerHealth } from './serverhealth.js';
import type { ServerListing } from './serverlisting.js';
import type { ServerLoads } from './serverloads.js';
import { Urgency } from './urgency.js';
import type { PlacementEstimate } from './placementestimate.js';

type Dependencies = {
  random: RandomSource;
  zone: string;
  list: ServerListing;
  loads: ReturnType<typeof ServerLoads.make>;
  health: ReturnType<typeof ServerHealth.make>;
  kept: ReturnType<typeof PrefixCacheEstimate.make>;
  /** Predicate: whether the stage assignments, as of now, order a server to another stage than the list shows. */
  changing: () => (s: Server) => boolean;
  /** Measured read rate of a prefill server, in prompt tokens per ms. */
  pace: () => number;
  /** Whether a connection to the server is open, so that a request needs no new one. */
  linked: (s: Server) => boolean;
  /** Factor by which a server takes longer than expected. */
  speed: (id: string) => number;
  /** Time in ms that recent reads waited beyond what was expected. */
  wait: () => number;
};
const NO_EXCLUSIONS: ReadonlySet<string> = new Set();
const NO_ESTIMATE: PlacementEstimate = { prefill: null, firstEventMs: 0, uncontendedMs: 0, backlog: null };
type Choice = { server: Server; ms: number };
/** A decode server reads prompts at this fraction of a prefill server's rate, between the decoding of other runs. */
const DECODE_READ_RATE_FRACTION = 0.5;
/** Prompts with fewer tokens to read than this are read at the decode server, unless that is busy reading. */
const SHORT_READ_TOKENS = 1000;
/** Duration of a KV cache handover, and the cost of 1 ms of reading at a decode server with runs, in ms of waiting. */
const HANDOVER_MS = 25;
const INTERFERENCE_COST_FACTOR = 1.6;
/** Time from the start of a run to its first event, in ms. */
const RUN_START_MS = 45;
/** The interference cost of a read grows by its base value with each further set of this many runs at the server. */
const INTERFERENCE_RUNS = 16;
/** From this many runs on, a decode server reads no prompts: each chunk it reads delays all of them. */
const NO_READS_FROM_RUNS = 20;
/** Fraction of a server's slots that runs may take; beyond it all runs become too slow. */
const SLOT_FRACTION = 0.7;
/** Requests with less output than this hardly occupy a slot. */
const BRIEF_OUTPUT_TOKENS = 200;
/**
 * Fraction of the latency target within which a prompt is read at the home of its prefix although another server would
 * be sooner.
 */
const HOME_AIM_FRACTION = 0.75;
/**
 * Cost in ms of reading one shared token again that the prefix's home server holds, since that time is taken from other
 * prompts.
 */
const REREAD_COST_MS_PER_TOKEN = 0.1;
/** Fraction of such extra work by which each read waiting at the server is assumed to be delayed. */
const REREAD_DELAY_FRACTION = 0.5;
/** Cost in ms of a server in another zone. */
const REMOTE_ZONE_COST_MS = 4;
const WARMUP_COST_MS = 80;
/**
 * Cost of a new connection as a fraction of the server's slots: every connection has to be opened and kept, and few
 * routers need one to every server.
 */
const NEW_CONNECTION_COST = 0.04;
/** Failure reports of other routers exclude servers only while at least this fraction of the stage is left. */
const MIN_STAGE_FRACTION_LEFT = 0.5;
/**
 * Utilization assumed for an idle decode server, so that a slow one is not preferred to a fast one while both are idle.
 */
const IDLE = 0.08;

/**
 * Chooses the servers that read and decode a request. Invariants: only servers that are ready in a list that is fresh
 * at this instant are chosen; a suspected one is chosen only if no other is left. Each prefix has one home among the
 * servers of a stage, by rendezvous hashing, the same for every router; a request is read elsewhere only if waiting at
 * the home would put its latency target at risk.
 */
export const Placement = {
  SLOT_FRACTION,
  make(deps: Dependencies) {
    const candidates = (service: Service, stage: Server['stage'], excluded: ReadonlySet<string>): Server[] => {
      const changing = deps.changing();
      const all = deps.list
        .freshServers()
        .filter(
          (s) =>
            s.service === service.name &&
            s.state === 'ready' &&
            s.stage === stage &&
            !excluded.has(s.id) &&
            !changing(s),
        );
      const healthy = all.filter((s) => deps.health.isOpen(s.id));
      if (healthy.length >= all.length * MIN_STAGE_FRACTION_LEFT) return healthy;
      const locallyHealthy = all.filter((s) => deps.health.isOpenLocally(s.id));
      return locallyHealthy.length > 0 ? locallyHealthy : all;
    };
    const cheapest = (list: readonly Server[], cost: (s: Server) => number): Choice | null => {
      let best: Choice | null = null;
      for (const server of list) {
        const ms = cost(server) + deps.random.real() * 0.01;
        if (!best || ms < best.ms) best = { server, ms };
      }
      return best;
    };
    const sharedTokens = (prompt: Prompt): number => prompt.tokens - (prompt.parts.at(-1)?.tokens ?? prompt.tokens);
    /** Tokens that a server would have to read, assuming that the home of a prefix holds it. */
    const tokensToRead = (s: Server, prompt: Prompt, home: Server | undefined): number =>
      Math.max(
        1,
        prompt.tokens - Math.max(deps.kept.cachedTokens(s.id, prompt), s === home ? sharedTokens(prompt) : 0),
      );
    /** Shared tokens that the server would have to read again although the home holds them. */
    const sharedTokensReadAgain = (s: Server, prompt: Prompt, home: Server | undefined): number =>
      s === home ? 0 : Math.max(0, sharedTokens(prompt) - deps.kept.cachedTokens(s.id, prompt));
    const entryCost = (s: Server): number =>
      (s.warm > 0 ? WARMUP_COST_MS : 0) + (s.zone === deps.zone ? 0 : REMOTE_ZONE_COST_MS);
    /** Chooses the prefill server that reads the prompt soonest, or its home if that is soon enough. */
    const choosePrefill = (service: Service, route: Route, prompt: Prompt, excluded: ReadonlySet<string>) => {
      const list = candidates(service, 'prefill', excluded);
      const home = RendezvousHash.first(PrefixCacheEstimate.sharedPrefixKey(prompt), list, (s) => s.id);
      const expectedMs = (s: Server): number =>
        ((deps.loads.loadAt(s.id).tokens + tokensToRead(s, prompt, home)) / deps.pace()) * deps.speed(s.id) +
        entryCost(s);
      const rereadCost = (s: Server): number =>
        REREAD_COST_MS_PER_TOKEN + (deps.loads.loadAt(s.id).reads * REREAD_DELAY_FRACTION) / deps.pace();
      const best = cheapest(list, (s) => expectedMs(s) + sharedTokensReadAgain(s, prompt, home) * rereadCost(s));
      if (!home || !best) return null;
      const homeMs = expectedMs(home);
      const chosen = homeMs <= route.aim * HOME_AIM_FRACTION ? { server: home, ms: homeMs } : best;
      return { ...chosen, fresh: tokensToRead(chosen.server, prompt, home), home: chosen.server === home };
    };
    const chooseDecode = (
      service: Service,
      prompt: Prompt | null,
      prefillServer: Server | null,
      excluded: ReadonlySet<string>,
    ) => {
      const list = candidates(service, service.engine ? 'decode' : null, excluded);
      const zone = prefillServer?.zone ?? deps.zone;
      const defaultSlots = Math.max(1, service.engine?.slots ?? 1);
      // Prompts with long shared parts are read by prefill servers, so a decode server holds such a part only if it was
      // seen to read it.
      const home =
        prompt && !prefillServer && sharedTokens(prompt) < SHORT_READ_TOKENS
          ? RendezvousHash.first(PrefixCacheEstimate.sharedPrefixKey(prompt), list, (s) => s.id)
          : undefined;
      const best = cheapest(list, (s) => {
        const { runs, tokens } = deps.loads.loadAt(s.id);
        const busy =
          runs / Math.max(1, s.slots || defaultSlots) + tokens / (deps.pace() * DECODE_READ_RATE_FRACTION * 1000);
        const link = deps.linked(s) ? 0 : NEW_CONNECTION_COST;
        const own =
          prompt && !prefillServer
            ? tokensToRead(s, prompt, home) / (deps.pace() * DECODE_READ_RATE_FRACTION * 1000)
            : 0;
        return (busy + own + IDLE) * deps.speed(s.id) + (s.zone === zone ? 0 : 0.12) + (s.warm > 0 ? 0.5 : 0) + link;
      });
      if (!best || !prompt || prefillServer) return best;
      const { runs, tokens } = deps.loads.loadAt(best.server.id);
      const work = tokensToRead(best.server, prompt, home) * INTERFERENCE_COST_FACTOR * (1 + runs / INTERFERENCE_RUNS);
      // Short shared parts have no home among decode servers that would be worth keeping to.
      const rereadMs = sharedTokensReadAgain(best.server, prompt, home) * REREAD_COST_MS_PER_TOKEN;
      return { server: best.server, ms: (tokens + work) / (deps.pace() * DECODE_READ_RATE_FRACTION) + rereadMs };
    };
    return {
      /** Whether some server has a slot for one more run; always true for a run with brief output. */
      hasRoom(service: Service, prompt: Prompt | null): boolean {
        if (!service.engine || !prompt || prompt.most < BRIEF_OUTPUT_TOKENS) return true;
        const list = candidates(service, 'decode', NO_EXCLUSIONS);
        const slots = service.engine.slots;
        return list.length === 0 || list.some((s) => deps.loads.loadAt(s.id).runs < (s.slots || slots) * SLOT_FRACTION);
      },
      /**
       * Estimates where the prompt should be read first and when the first event would come, both from the same state.
       */
      evaluate(service: Service, route: Route, prompt: Prompt, excluded: ReadonlySet<string>): PlacementEstimate {
        const prefillChoice = service.engine ? choosePrefill(service, route, prompt, excluded) : null;
        const decodeChoice = service.engine ? chooseDecode(service, prompt, null, excluded) : null;
        if (!decodeChoice) return NO_ESTIMATE;
        if (!prefillChoice) {
          const pace = deps.pace() * DECODE_READ_RATE_FRACTION;
          const own = prompt.tokens - deps.kept.cachedTokens(decodeChoice.server.id, prompt);
          return {
            ...NO_ESTIMATE,
            backlog: {
              queuedMs: deps.loads.loadAt(decodeChoice.server.id).tokens / pace,
              ownMs: own / pace,
              atDecodeServer: true,
            },
          };
        }
        const crowded = deps.loads.loadAt(decodeChoice.server.id).runs >= NO_READS_FROM_RUNS;
        const isShort = deps.kept.cachedTokens(decodeChoice.server.id, prompt) + SHORT_READ_TOKENS > prompt.tokens;
        // The load of a decode server is known better than the queue of prefill servers, which is mostly work of other
        // routers.
        const prefillMs = prefillChoice.ms + HANDOVER_MS + deps.wait();
        const decodeLimitMs = isShort ? prefillMs + SHORT_READ_TOKENS / deps.pace() : prefillMs;
        const read = { server: prefillChoice.server, fresh: prefillChoice.fresh, home: prefillChoice.home };
        const alone = prefillChoice.fresh / deps.pace() + HANDOVER_MS + RUN_START_MS;
        // A tiny prompt is read ahead of all that waits, so the queue does not delay it.
        const skipsQueue = prefillChoice.fresh / deps.pace() < Urgency.TINY_READ_MS;
        const ms =
          (crowded ? prefillChoice.ms : Math.min(prefillChoice.ms, decodeChoice.ms)) + HANDOVER_MS + RUN_START_MS;
        const queuedMs = deps.loads.loadAt(prefillChoice.server.id).tokens / deps.pace();
        const reading = { queuedMs, ownMs: prefillChoice.fresh / deps.pace(), atDecodeServer: false };
        const readOnDecode = !crowded && decodeChoice.ms <= decodeLimitMs;
        return {
          prefill: readOnDecode ? null : read,
          firstEventMs: skipsQueue ? Math.min(ms, alone) : ms,
          uncontendedMs: alone,
          backlog: readOnDecode ? null : reading,
        };
      },
      /** Chooses the server that decodes: one with little load, close to the server that holds the KV cache. */
      chooseDecode: (
        service: Service,
        prompt: Prompt | null,
        prefillServer: Server | null,
        excluded: ReadonlySet<string>,
      ): Server | null => chooseDecode(service, prompt, prefillServer, excluded)?.server ?? null,
      /** Tokens that the server must read if it gets the prompt without a KV cache handle. */
      tokensToRead: (s: Server, prompt: Prompt): number =>
        Math.max(1, prompt.tokens - deps.kept.cachedTokens(s.id, prompt)),
    };
  },
};
