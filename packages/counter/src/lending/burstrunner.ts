import { Timer, type FleetConfiguration, type NamedRoute, type Verdict, type World } from '@pumicebarrow/forms';
import { BurstShards, type Burst, type ControlClient, type Generation } from '@pumicebarrow/registry';
import type { ResponseWriter } from '../responsewriter.js';
import type { DaemonLeases } from '../daemonleases.js';
import type { ClientRequest } from '../clientrequest.js';
import { AnswerCollector } from '../answercollector.js';

type Dependencies = {
  world: World;
  controlClient: ControlClient;
  /** Named leases held by this daemon. */
  duty: DaemonLeases;
  configuration: () => FleetConfiguration | null;
  /** Total weight of a route's generations that may be in progress at once. */
  capacity: (route: NamedRoute) => number;
  run: (request: ClientRequest, writer: ResponseWriter) => Promise<Verdict>;
};
/** A generation that is waiting or was begun. */
type OpenGeneration = { burst: Burst; index: number; generation: Generation };
/** A send of a generation as the core records it: run number, attempt of that run, and fencing token. */
type SendRecord = { mark: number; turn: number; fence: number };

const WRITE_TIMEOUT_MS = 1500;
const SETTLE_RETRY_MS = 500;
/** Pause after a refusal or a generation that did not run, before anything else is started. */
const BACKOFF_MS = 300;

/**
 * Runs the bursts whose shards this daemon leases, in the order in which the bursts began and, within one, by index.
 * Invariants: a request is sent only once the core has recorded it, under a fencing token that is valid here; this
 * daemon does not start a generation again that is in progress; each generation ends in one result, reported to the
 * core until it is accepted.
 */
export const BurstRunner = {
  make(deps: Dependencies) {
    let bursts: readonly Burst[] = [];
    /** Ids of generations whose state was read after this daemon last had them in progress. */
    let upToDate = new Set<string>();
    const inProgress = new Set<string>();
    /** Ids of generations that did not run here and were not started since; nothing later starts before them. */
    const returned = new Set<string>();
    /** Sends that the core may have recorded without confirming it, and for which nothing was sent. */
    const unconfirmed = new Map<string, SendRecord>();
    let pausedUntil = 0;
    let reading = false;
    let stopped = false;
    const now = (): number => deps.world.clock.mono();
    const routeOf = (burst: Burst): NamedRoute | null => {
      const configuration = deps.configuration();
      return configuration?.lending?.rules.includes(burst.spec.rule)
        ? (configuration.rules.find((r) => r.name === burst.spec.rule) ?? null)
        : null;
    };
    const openGenerations = (): OpenGeneration[] =>
      bursts.flatMap((burst) =>
        burst.generations.flatMap((generation, index): OpenGeneration[] =>
          (generation.state === 'waiting' && !burst.ended) || generation.state === 'begun'
            ? [{ burst, index, generation }]
            : [],
        ),
      );
    const idOf = (open: OpenGeneration): string => `${open.burst.spec.key}.${open.index}`;
    /** Reports the result of a send until the core has accepted it or has a definite reason to refuse it. */
    const reportResult = async (
      open: OpenGeneration,
      record: SendRecord,
      outcome: ReturnType<typeof AnswerCollector.outcome>,
    ): Promise<void> => {
      const base = {
        do: 'settle' as const,
        id: open.burst.spec.key,
        index: open.index,
        mark: record.mark,
        turn: record.turn,
      };
      for (;;) {
        const { verdict } = (await deps.controlClient.write({ ...base, ...outcome }, WRITE_TIMEOUT_MS)).ruling;
        if (verdict.ran === 'yes' || (verdict.ran === 'no' && verdict.code !== 'unready' && verdict.code !== 'full'))
          return;
        await Timer.sleep(deps.world.clock, SETTLE_RETRY_MS);
      }
    };
    const send = async (open: OpenGeneration, route: NamedRoute, record: SendRecord): Promise<void> => {
      const { spec } = open.burst,
        prompt = spec.prompts[Math.floor(open.index / spec.samples)]!;
      const take = AnswerCollector.make();
      const request: ClientRequest = {
        key: `${idOf(open)}.${record.mark}`,
        attempt: record.turn,
        rule: route.name,
        ...prompt,
      };
      const outcome = AnswerCollector.outcome(await deps.run(request, take.writer), take);
      if (outcome.to === 'unrun') {
        pausedUntil = now() + BACKOFF_MS;
        returned.add(idOf(open));
      }
      deps.world.recordEvent({
        what: 'generation',
        burst: spec.key,
        index: open.index,
        mark: record.mark,
        to: outcome.to,
      });
      await reportResult(open, record, outcome);
    };
    const start = async (open: OpenGeneration, route: NamedRoute): Promise<void> => {
      const fence = deps.duty.fence(BurstShards.leaseNameOf(open.burst.spec.key)),
        generation = open.generation;
      if (fence === null) return;
      const isWaiting = generation.state === 'waiting';
      const record = {
        mark: isWaiting ? generation.mark + 1 : generation.mark,
        turn: isWaiting ? 1 : generation.turn + 1,
        fence,
      };
      const earlier = unconfirmed.get(idOf(open));
      unconfirmed.delete(idOf(open));
      if (
        !isWaiting &&
        earlier &&
        earlier.mark === generation.mark &&
        earlier.turn === generation.turn &&
        earlier.fence === generation.fence
      )
        return send(open, route, earlier);
      const { ruling } = await deps.controlClient.write(
        { do: 'mark', id: open.burst.spec.key, index: open.index, ...record },
        WRITE_TIMEOUT_MS,
      );
      if (ruling.verdict.ran === 'maybe') unconfirmed.set(idOf(open), record);
      if (ruling.verdict.ran !== 'yes') {
        pausedUntil = now() + BACKOFF_MS;
        if (isWaiting && generation.mark > 0) returned.add(idOf(open));
        return;
      }
      await send(open, route, record);
    };
    const fill = (): void => {
      if (stopped || now() < pausedUntil) return;
      for (const open of openGenerations()) {
        const route = routeOf(open.burst),
          id = idOf(open);
        if (!route) continue;
        if (inProgress.has(id) || !upToDate.has(id)) {
          if (returned.has(id)) return;
          continue;
        }
        if (inProgress.size * route.weight + route.weight > deps.capacity(route)) return;
        inProgress.add(id);
        returned.delete(id);
        deps.world.recordEvent({
          what: 'taken',
          burst: open.burst.spec.key,
          index: open.index,
          mark: open.generation.mark,
        });
        void start(open, route).finally(() => {
          inProgress.delete(id);
          upToDate.delete(id);
          void read();
        });
      }
    };
    const read = async (): Promise<void> => {
      if (reading) return;
      reading = true;
      const holdsLease = (key: string): boolean => deps.duty.fence(BurstShards.leaseNameOf(key)) !== null;
      const reply = await deps.controlClient.bursts({}, 0);
      if (!reply) {
        reading = false;
        return;
      }
      const ownBursts = reply.list
        .filter((b) => !b.gone && b.waiting + b.begun > 0 && holdsLease(b.key))
        .sort((a, b) => a.order - b.order);
      const nextBursts: Burst[] = [];
      const inProgressBefore = new Set(inProgress),
        unread = new Set<string>();
      for (const summary of ownBursts) {
        const details = await deps.controlClient.bursts({ key: summary.key }, 0);
        const burst = details ? details.burst : bursts.find((x) => x.spec.key === summary.key);
        if (burst) nextBursts.push(burst);
        if (!details) unread.add(summary.key);
      }
      bursts = nextBursts;
      const open = openGenerations();
      const current = open.filter(
        (g) => !inProgressBefore.has(idOf(g)) && (!unread.has(g.burst.spec.key) || upToDate.has(idOf(g))),
      );
      upToDate = new Set(current.map(idOf));
      for (const name of returned)
        if (!open.some((g) => idOf(g) === name) && !inProgress.has(name) && returned.delete(name))
          deps.world.recordEvent({ what: 'passedon', name });
      reading = false;
      fill();
    };
    return {
      leaseNames: (): readonly string[] => (deps.configuration()?.lending ? BurstShards.leaseNames : []),
      /** The first burst that has a generation to start or in progress; null if no loan is needed. */
      need(): { burst: string; order: number } | null {
        const first = stopped ? undefined : openGenerations().find((g) => routeOf(g.burst) !== null);
        return first ? { burst: first.burst.spec.key, order: first.burst.order } : null;
      },
      /** Number of generations in progress. */
      inProgress: (): number => inProgress.size,
      /** Starts generations in order while there is capacity. */
      fill,
      /** Reads the bursts of this daemon's shards from the core, then starts what can be started. */
      read,
      stop(): void {
        stopped = true;
      },
    };
  },
};
