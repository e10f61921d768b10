import { RendezvousHash, Timer, type Clock, type Messenger } from '@pumicebarrow/forms';
import type { RecordStore } from '@pumicebarrow/purge';
import type { View } from '@pumicebarrow/registry';
import type { OutcomeCounters } from './outcomecounters.js';
import { ServerListIndex } from './serverlistindex.js';
import type { ServerLoads } from './serverloads.js';
import { RouterMessages } from './routermessages.js';

type Dependencies = {
  clock: Clock;
  post: Messenger;
  loads: ReturnType<typeof ServerLoads.make>;
  view: () => View | null;
  store: RecordStore;
  /** Whether the fleet is so large that a router receives load gossip from a part of the others only. */
  isLargeFleet: () => boolean;
  counters: Pick<ReturnType<typeof OutcomeCounters.make>, 'count'>;
};
/** Runs in progress, prompts waiting to be read, and their tokens. */
type Load = { runs: number; reads: number; tokens: number };
/** Server id, runs, reads, token units. */
type WireRow = [string, number, number, number];
/** How long the reply may take, and how long nothing is asked after a reply that did not come. */
const REPLY_TIMEOUT_MS = 40;
const BACKOFF_MS = 1000;
/** Interval after which all rows are sent again even if none changed. */
const FULL_REPORT_INTERVAL_MS = 700;
/** Tokens per unit on the wire. */
const TOKENS_PER_UNIT = 100;
/** Numbers that describe one server in `places`: its place in the list, runs, reads and token units. */
const FIELDS_PER_SERVER = 4;
const RENDEZVOUS_KEY = 'loads';

/**
 * A router's client of the load aggregator, the control replica that adds up the loads of all servers. All routers use
 * the same replica, chosen by rendezvous hashing over the view. Invariants: changes of this router are sent before it
 * asks for the sums; a replica that does not reply in time costs one short wait and is then left alone for a while;
 * only the choice of servers depends on the reply.
 */
export const LoadAggregatorClient = {
  make(deps: Dependencies) {
    const listIndex = ServerListIndex.make(deps.store);
    const changed = new Set<string>();
    let reportedTo = '';
    let fullReportAt = -Infinity;
    let askedAt = -Infinity;
    let backoffUntil = -Infinity;
    let reportScheduled = false;
    let stop: () => void = () => undefined;
    const chooseAggregator = () => {
      const view = deps.view();
      return view && deps.isLargeFleet() ? RendezvousHash.first(RENDEZVOUS_KEY, view.chain, (m) => m.id) : undefined;
    };
    const ownRow = (server: string): WireRow => {
      const own = deps.loads.ownLoads().get(server);
      return [server, own?.runs ?? 0, own?.reads ?? 0, Math.round((own?.tokens ?? 0) / TOKENS_PER_UNIT)];
    };
    const reportOwnLoads = (): void => {
      reportScheduled = false;
      const aggregator = chooseAggregator();
      if (!aggregator) {
        changed.clear();
        return;
      }
      const whole = aggregator.id !== reportedTo || deps.clock.mono() - fullReportAt > FULL_REPORT_INTERVAL_MS;
      if (!whole && changed.size === 0) return;
      const servers = whole ? deps.loads.ownLoads().keys() : changed;
      const rows = [...servers].map(ownRow);
      changed.clear();
      reportedTo = aggregator.id;
      if (whole) fullReportAt = deps.clock.mono();
      deps.post.tell(aggregator.addr, aggregator.id, 'loads.own', { whole, rows });
    };
    deps.loads.subscribe((server) => {
      changed.add(server);
      if (reportScheduled) return;
      reportScheduled = true;
      deps.clock.after(0, reportOwnLoads);
    });
    return {
      /** Whether server choices are currently based on the aggregator's replies. */
      isActive: (): boolean => deps.clock.mono() - askedAt < BACKOFF_MS && deps.clock.mono() >= backoffUntil,
      /**
       * Fetches the loads of all routers, unless they were fetched at most `maxAgeMs` ago or the aggregator cannot be
       * asked now.
       */
      async refresh(maxAgeMs: number): Promise<void> {
        const now = deps.clock.mono();
        if (now - askedAt < maxAgeMs || now < backoffUntil) return;
        const aggregator = chooseAggregator();
        if (!aggregator) return;
        reportOwnLoads();
        const ownBefore = deps.loads.snapshot();
        const heldList = listIndex.current();
        const question = { list: heldList?.mark ?? null };
        const reply = await deps.post.ask(
          aggregator.addr,
          aggregator.id,
          'loads.ask',
          question,
          RouterMessages.fleetLoadReply,
          REPLY_TIMEOUT_MS,
        );
        deps.counters.count('load_queries', reply.ok ? 'ok' : reply.val);
        if (!reply.ok) {
          backoffUntil = deps.clock.mono() + BACKOFF_MS;
          return;
        }
        askedAt = now;
        const fleetLoads = new Map<string, Load>();
        const addLoad = (id: string | undefined, runs = 0, reads = 0, units = 0): void => {
          if (id !== undefined) fleetLoads.set(id, { runs, reads, tokens: units * TOKENS_PER_UNIT });
        };
        const { places, rows } = reply.val;
        for (let i = 0; i < places.length; i += FIELDS_PER_SERVER)
          addLoad(heldList?.ids[places[i]!], ...places.slice(i + 1, i + FIELDS_PER_SERVER));
        for (const [id, ...load] of rows) addLoad(id, ...load);
        deps.loads.setFleetLoads(fleetLoads, ownBefore, deps.clock.mono());
      },
      start(): void {
        stop = Timer.every(deps.clock, FULL_REPORT_INTERVAL_MS, reportOwnLoads);
      },
      stop: (): void => stop(),
    };
  },
};
