import { SuspendDetector, Random, Messaging, Timer, Verdicts } from '@pumicebarrow/forms';
import type { Ident, MetricFamily, Verdict, World } from '@pumicebarrow/forms';
import { DaemonStateMachine, ConfigurationCatchUp } from '@pumicebarrow/counter';
import { Gossip, InMemoryRecordStore } from '@pumicebarrow/purge';
import { ControlClient, Introducer, TraceService, Views } from '@pumicebarrow/registry';
import type { ConfigurationBody, FailureReport } from '@pumicebarrow/registry';
import { interpret } from 'robot3';
import type { ResponseWriter } from './responsewriter.js';
import { RetryBudgets } from './retrybudgets.js';
import { ConfigurationFreshness } from './configurationfreshness.js';
import { StageChanges } from './stagechanges.js';
import { ConfigurationApi } from './configurationapi.js';
import type { ModelServerClient } from './modelserverclient.js';
import { HeadCheckin } from './headcheckin.js';
import { PrefixCacheEstimate } from './prefixcacheestimate.js';
import { KeyRevocation } from './keyrevocation.js';
import type { ServerListBody } from './serverlistbody.js';
import { ServerListRows } from './serverlistrows.js';
import type { ServerListSource } from './serverlistsource.js';
import { ServerListFallback } from './serverlistfallback.js';
import { LoadShedder } from './loadshedder.js';
import { LoadAggregatorClient } from './loadaggregatorclient.js';
import { LoadGossip } from './loadgossip.js';
import { OutcomeCounters } from './outcomecounters.js';
import { OutcomeLog } from './outcomelog.js';
import { PerService } from './perservice.js';
import { PrefillRate } from './prefillrate.js';
import { Placement } from './placement.js';
import type { ClientRequest } from './clientrequest.js';
import { UnexpectedPrefillWait } from './unexpectedprefillwait.js';
import { RequestLogHandler } from './requestloghandler.js';
import { RequestLog } from './requestlog.js';
import type { RouterOptions } from './routeroptions.js';
import type { Routes } from './routes.js';
import { RouteTable } from './routetable.js';
import { RequestHandler } from './requesthandler.js';
import { ServerHealth } from './serverhealth.js';
import { ServerList } from './serverlist.js';
import { ServerLoads } from './serverloads.js';
import { ServerMetrics } from './servermetrics.js';
import { ServerSlowdown } from './serverslowdown.js';
import { SharedDocumentCheck } from './shareddocumentcheck.js';
import { FailureReports } from './failurereports.js';
import { StatusHandler } from './statushandler.js';
import { SuspicionReporter } from './suspicionreporter.js';

const CHECKIN_INTERVAL_MS = 450;
/** Age of the server list, as a fraction of `drain`, from which on it is too old to route requests by. */
const MAX_LIST_AGE_RATIO = 0.72;
/** Age, as a fraction of `drain`, from which on the router gets the list from other sources. */
const FALLBACK_LIST_AGE_RATIO = 0.5;
/** KV cache size assumed for a server while no service has a configured one. */
const DEFAULT_KV_CACHE_TOKENS = 400_000;

/** Assembles a router daemon: gossip, the client for the control replicas, the server list and request handling. */
export const Router = {
  make(world: World, options: RouterOptions, engine: ModelServerClient, source: ServerListSource) {
    const { clock } = world;
    const log = world.log('router');
    const ident: Ident = {
      id: options.id,
      born: Random.hexId(world.random),
      addr: options.addr,
      site: options.zone,
      role: 'counter',
    };
    const self = (): Ident => ident;
    const lifecycle = interpret(DaemonStateMachine, () => undefined);
    const state = (): string => lifecycle.machine.current;
    /** Shutdown times: when clients are no longer sent to this daemon, and when it ends. */
    let exit = { noClientsAt: Infinity, endAt: Infinity };
    let routes: Routes | null = null;
    const post = Messaging.make(world, self);
    const store = InMemoryRecordStore.make(SharedDocumentCheck.isValid);
    const viewMembers = (): readonly Ident[] => Views.gossipPeers(line.view());
    const purge = Gossip.make(world, post, self, store, options.tunes, options.seeds, viewMembers);
    const line = ControlClient.make(world, post, () => [...options.seeds(), ...purge.peers().map((peer) => peer.addr)]);
    const routers = (): readonly Ident[] => purge.peers().filter((p) => p.role === 'counter' && p.id !== ident.id);
    const suspension = SuspendDetector.make(clock, () => {
      list.invalidate();
      freshness.invalidate();
      if (state() !== 'serving' && state() !== 'draining') return;
      log.warn('This daemon was suspended; confirming the newest configuration.');
      lifecycle.send('woke');
      void freshness.confirm();
    });
    const list = ServerList.make(
      clock,
      () => options.drain * MAX_LIST_AGE_RATIO,
      () => suspension.check(),
    );
    const version = (): number => store.stamp('charter')?.[0] ?? 0;
    const newest = ConfigurationCatchUp.make({
      ...{ world, post, controlClient: line, purge, recordStore: store, self, known: routers },
      slept: () => suspension.suspensions(),
    });
    const freshness = ConfigurationFreshness.make({
      clock,
      // A draining daemon still serves requests and therefore confirms its configuration as well.
      isNeeded: () => state() === 'asking' || state() === 'draining',
      queryNewest: newest.confirmNewest,
      onConfirmed(): void {
        lifecycle.send('sure');
        log.info('Serving.');
        void head.tick();
      },
    });
    const loads = ServerLoads.make(clock.mono);
    const load = () => loads.ownTotals((id) => list.stageOf(id) === 'prefill');
    const head = HeadCheckin.make({
      ...{ clock, post, controlClient: line, store, gossip: purge, list, version, load },
      readTail: newest.readTail,
    });
    const loadPeers = (): readonly Ident[] => (loadAggregator.isActive() ? [] : head.peers());
    const news = LoadGossip.make({ clock, post, loads, peers: loadPeers, routerCount: head.routerCount });
    const counters = OutcomeCounters.make();
    const isLargeFleet = (): boolean => (head.routerCount() ?? 0) > LoadGossip.FULL_MESH_MAX_ROUTERS;
    const loadAggregator = LoadAggregatorClient.make({
      ...{ clock, post, loads, store, view: line.view, isLargeFleet, counters },
    });
    const fallback = ServerListFallback.make({
      ...{ world, post, list, source, peers: routers },
      mark: () => (list.isShared() ? store.stamp('list') : null),
      fallbackAgeMs: () => options.drain * FALLBACK_LIST_AGE_RATIO,
      routerCount: head.routerCount,
    });
    const health = ServerHealth.make(clock),
      prefillRate = PrefillRate.make(),
      slowdown = ServerSlowdown.make(clock),
      prefillWait = UnexpectedPrefillWait.make(clock, isLargeFleet);
    const kvCacheTokens = (): number =>
      routes?.services().find((s) => (s.engine?.memory ?? 0) > 0)?.engine?.memory ?? DEFAULT_KV_CACHE_TOKENS;
    const prefixCache = PrefixCacheEstimate.make(kvCacheTokens);
    const placement = Placement.make({
      ...{ random: world.random, zone: options.zone, list, loads, health, kept: prefixCache },
      changing: () => StageChanges.changingPredicate(store),
      linked: engine.hasIdleConnection,
      pace: prefillRate.tokensPerMs,
      speed: slowdown.factorOf,
      wait: prefillWait.currentMeanMs,
    });
    const retryBudgets = RetryBudgets.make(clock, () => options.budget, head.routerCount);
    const shedders = PerService.make(() => LoadShedder.make(clock, world.random));
    const unavailable = (): Verdict | null => {
      suspension.check();
      if (state() === 'serving' || (state() === 'draining' && freshness.isConfirmed())) return null;
      return Verdicts.notRun('asking', 'This daemon is still confirming the newest configuration.', 0.2);
    };
    const revocation = KeyRevocation.make(
      clock,
      () => routes,
      () => options.revocation.within,
    );
    const keysCurrent = (): boolean =>
      !options.revocation.everywhere || head.msSinceConfirmed() < options.revocation.within;
    const remainingLifetimeMs = (): number => (clock.mono() < exit.noClientsAt ? Infinity : exit.endAt - clock.mono());
    const sightings = FailureReports.make({ clock, random: world.random, store, gossip: purge, self: ident.id });
    const suspicionReporter = SuspicionReporter.make({ log, health, loads, failureReports: sightings });
    const { reportFailure: suspect, reportRejection: noteRejection } = suspicionReporter;
    const requestLog = RequestLog.make(clock);
    const dependencies = {
      ...{ world, engine, unavailable, remainingLifetimeMs, keysCurrent, revocation, serverList: list, loads, health },
      ...{ prefixCache, prefillRate, slowdown, prefillWait, placement, retryBudgets },
      ...{ suspect, noteRejection, counters, shedders, loadAggregator },
    };
    const serve = RequestHandler.make({ ...dependencies, requestLog, routes: () => routes });
    const serverMetrics = ServerMetrics.make(list, loads);
    const stopFunctions: (() => void)[] = [];
    const routeListeners: ((routes: Routes) => void)[] = [];
    store.onChange((doc) => {
      if (doc.name === 'charter') {
        const configuration = (doc.body as ConfigurationBody).charter;
        if (!('routes' in configuration)) return;
        routes = RouteTable.make(configuration);
        revocation.configurationChanged();
        for (const listener of routeListeners) listener(routes);
        log.info(`Configuration ${routes.revision} has taken effect.`);
      }
      if (doc.name === 'list') list.applyUnconfirmed(ServerListRows.unpack(doc.body as ServerListBody));
      if (!doc.name.startsWith('sight:')) return;
      const { server, by } = doc.body as FailureReport;
      if (by !== ident.id) health.recordPeerReport(server, by, world.random.real());
    });
    list.subscribe((servers) => {
      const ids = new Set(servers.map((server) => server.id));
      prefixCache.retain(ids);
      health.retain(ids);
      slowdown.retain(ids);
    });
    TraceService.make(post, self, purge, store, freshness.isConfirmed);
    Introducer.make({ clock, post, me: () => ({ id: ident.id, born: ident.born, addr: ident.addr }), view: line.view });
    RequestLogHandler.make(post, requestLog);
    StatusHandler.make({
      ...{ clock, post, store, self, state, isConfirmed: freshness.isConfirmed, view: line.view },
      isActingHead: () => false,
      list: () => ({ age: list.ageMs(), isFresh: list.isFresh() }),
      ...{ msSinceHeadReply: head.msSinceReply, suspected: health.suspected },
      knownDaemons: () => [...purge.peers(), ...head.peers()],
    });
    return {
      ...{ ident, post, line, purge, recordStore: store, list, loads, health, retryBudgets, head },
      ...{ listFallback: fallback, news, prefixCache, prefillRate },
      lifecycleState: state,
      routes: (): Routes | null => routes,
      onRoutesChange(listener: (routes: Routes) => void): void {
        routeListeners.push(listener);
      },
      configuration: ConfigurationApi.make(line),
      serve: (request: ClientRequest, writer: ResponseWriter): Promise<Verdict | null> => serve(request, writer),
      metrics: (): MetricFamily[] => [...counters.families(), ...serverMetrics.families()],
      /** Readiness: whether new clients should be sent here. */
      ready: (): boolean => {
        suspension.check();
        return state() === 'serving' && routes !== null && list.isFresh();
      },
      start(): void {
        lifecycle.send('begin');
        suspension.start();
        purge.start();
        fallback.start();
        news.start();
        loadAggregator.start();
        void freshness.confirm();
        stopFunctions.push(Timer.every(clock, CHECKIN_INTERVAL_MS, head.tick));
        const { requestsByOutcome } = counters;
        stopFunctions.push(OutcomeLog.start({ clock, log, requestsByOutcome, serverSummary: serverMetrics.summary }));
      },
      /**
       * Starts the shutdown: no longer ready, but requests that still arrive are served. After `clientsGoneMs`, only
       * requests that are sure to finish before the end, `endMs` from now, are accepted.
       */
      leave(clientsGoneMs: number, endMs: number): void {
        exit = { noClientsAt: clock.mono() + clientsGoneMs, endAt: clock.mono() + endMs };
        lifecycle.send('leave');
        log.info('Draining before shutdown; no longer ready for new clients.');
      },
      stop(): void {
        lifecycle.send('empty');
        for (const stopFunction of stopFunctions) stopFunction();
        suspension.stop();
        fallback.stop();
        news.stop();
        loadAggregator.stop();
        purge.stop();
        post.close();
      },
    };
  },
};
