import { Timer, type Routing, type Tenant, type Verdict } from '@pumicebarrow/forms';
import { RetryBudget } from './retrybudget.js';
import { PrefixCacheEstimate } from './prefixcacheestimate.js';
import { KeyRevocation } from './keyrevocation.js';
import { LoadShedder } from './loadshedder.js';
import { OutcomeCounters } from './outcomecounters.js';
import { PrefillRate } from './prefillrate.js';
import { Placement } from './placement.js';
import type { ClientRequest } from './clientrequest.js';
import { UnexpectedPrefillWait } from './unexpectedprefillwait.js';
import { RequestLog } from './requestlog.js';
import { RouteTable } from './routetable.js';
import { RequestHandler } from './requesthandler.js';
import type { Server } from './server.js';
import { ServerHealth } from './serverhealth.js';
import { ServerList } from './serverlist.js';
import { ServerLoads } from './serverloads.js';
import { ServerSlowdown } from './serverslowdown.js';
import type { ScriptedResult, SentRequest } from './fixtures.test.js';
import {
  prompt,
  request,
  routing,
  server,
  testClock,
  testModelServerClient,
  testResponseWriter,
  testWorld,
} from './fixtures.test.js';

/** A scripted fleet, and the request that is sent to it. */
export type Scenario = {
  script: ScriptedResult[];
  route?: Partial<Routing['routes'][number]>;
  servers?: Server[];
  request?: Partial<ClientRequest>;
  budget?: number;
  /** Slack of the retry budget, in retries; 0 if not given. */
  budgetSlack?: number;
  tenants?: Tenant[];
  /** Tenants of a second configuration, which takes effect after `ms`. */
  secondTenants?: { ms: number; tenants: Tenant[] };
  /** Tenants of a third configuration, which takes effect `ms` after the second. */
  thirdTenants?: { ms: number; tenants: Tenant[] };
  keysCurrent?: boolean;
  /** Duration in ms of a query for the loads of servers. */
  loadQueryMs?: number;
  unavailable?: Verdict;
  listTooOld?: boolean;
  /** Remaining lifetime of the daemon in ms, for each request in turn; the last value holds for all later ones. */
  remainingLifetimeMs?: number | readonly number[];
  /** Time in ms after which the list is refreshed. */
  listRefreshedAfterMs?: number;
  /** Prompt tokens that other routers have queued at servers. */
  queuedTokens?: Readonly<Record<string, number>>;
  /** Client timeout in ms of a retry that follows a first attempt with 8 s. */
  retryTimeoutMs?: number;
  duringRequest?: (
    t: ReturnType<typeof testClock>,
    output: ReturnType<typeof testResponseWriter>,
    ended: readonly string[],
  ) => Promise<void>;
};
const FLEET = [server('p1', 'prefill'), server('d1', 'decode'), server('d2', 'decode')];

/** Runs one scenario and returns what happened. */
export const runScenario = async (scenario: Scenario) => {
  const time = testClock(),
    calls: string[] = [],
    asked: SentRequest[] = [],
    ended: string[] = [],
    suspected: string[] = [],
    turned: string[] = [];
  const world = testWorld(time.clock);
  const list = ServerList.make(
    time.clock,
    () => 2000,
    () => undefined,
  );
  list.replace(scenario.servers ?? FLEET, time.clock.mono(), 'shared');
  if (scenario.listTooOld) await time.advance(2001);
  const loads = ServerLoads.make(),
    health = ServerHealth.make(time.clock),
    prefixCache = PrefixCacheEstimate.make(() => 400_000),
    prefillRate = PrefillRate.make(),
    slowdown = ServerSlowdown.make(time.clock),
    prefillWait = UnexpectedPrefillWait.make(time.clock, () => true);
  const terms = { ratio: 0.2, window: 10_000, slack: scenario.budgetSlack ?? 0 };
  const budget = RetryBudget.make(
    time.clock,
    () => terms,
    () => 1,
  );
  for (let i = 0; i < (scenario.budget ?? 20); i++) budget.recordRequest();
  let routes = RouteTable.make({
    ...routing(scenario.route),
    ...(scenario.tenants ? { tenants: scenario.tenants } : {}),
  });
  const lifetimes =
    typeof scenario.remainingLifetimeMs === 'number'
      ? [scenario.remainingLifetimeMs]
      : [...(scenario.remainingLifetimeMs ?? [Infinity])];
  const remainingLifetimeMs = (): number => (lifetimes.length > 1 ? lifetimes.shift()! : lifetimes[0]!);
  const placementDependencies = {
    random: world.random,
    zone: 'z1',
    list,
    loads,
    health,
    kept: prefixCache,
    pace: prefillRate.tokensPerMs,
    speed: slowdown.factorOf,
    wait: prefillWait.currentMeanMs,
    changing: () => () => false,
    linked: () => false,
  };
  const revocation = KeyRevocation.make(
    time.clock,
    () => routes,
    () => 5000,
  );
  const requestLog = RequestLog.make(time.clock),
    shedder = LoadShedder.make(time.clock, world.random);
  const serve = RequestHandler.make({
    requestLog,
    counters: OutcomeCounters.make(),
    shedders: { of: () => shedder },
    loadAggregator: {
      refresh: () =>
        scenario.loadQueryMs === undefined ? Promise.resolve() : Timer.sleep(time.clock, scenario.loadQueryMs),
    },
    ...{
      world,
      serverList: list,
      loads,
      health,
      prefixCache,
      prefillRate,
      slowdown,
      prefillWait,
      retryBudgets: { of: () => budget },
      engine: testModelServerClient(scenario.script, calls, asked, time.clock, ended),
    },
    ...{
      unavailable: () => scenario.unavailable ?? null,
      remainingLifetimeMs,
      keysCurrent: () => scenario.keysCurrent ?? true,
      revocation,
      routes: () => routes,
      placement: Placement.make(placementDependencies),
    },
    noteRejection: (x) => void (health.recordRejection(x.id) && turned.push(x.id)),
    suspect: (x) => void (health.recordFailure(x.id) && suspected.push(x.id)),
  });
  loads.setGossipSource(
    () =>
      new Map(Object.entries(scenario.queuedTokens ?? {}).map(([id, tokens]) => [id, { runs: 0, reads: 1, tokens }])),
  );
  if (scenario.retryTimeoutMs !== undefined)
    await serve(request(time.clock.mono(), scenario.request), testResponseWriter().writer);
  const output = testResponseWriter();
  const more = scenario.retryTimeoutMs === undefined ? {} : { clientTimeoutMs: scenario.retryTimeoutMs };
  const done = serve(request(time.clock.mono(), { ...scenario.request, ...more }), output.writer);
  if (scenario.listRefreshedAfterMs !== undefined) {
    await time.advance(scenario.listRefreshedAfterMs);
    list.replace(scenario.servers ?? FLEET, time.clock.mono(), 'shared');
  }
  for (const next of [scenario.secondTenants, scenario.thirdTenants]) {
    if (!next) continue;
    await time.advance(next.ms);
    routes = RouteTable.make({ ...routing(scenario.route), tenants: next.tenants });
    revocation.configurationChanged();
  }
  if (scenario.listTooOld || scenario.unavailable) await time.advance(600);
  if (scenario.duringRequest) await scenario.duringRequest(time, output, ended);
  const verdict = await done;
  return {
    calls,
    ended,
    asked: asked.map((a) => a.request),
    urgencies: asked.map((a) => a.urgency),
    steps: requestLog.stepsOf('q1'),
    log: output.log,
    verdict,
    suspected,
    turned,
    loads,
    level: budget.level(),
  };
};
/** A request whose prompt is short enough to be prefilled by the decode server. */
export const SHORT_PROMPT = { request: { prompt: prompt(200, 200) } };
/** Calls without the numbers of the decode servers, which are chosen at random. */
export const withoutServerNumbers = (calls: string[]): string[] => calls.map((c) => c.replace(/ d\d/, ' d'));
