import { Awake, Dice, Post, Timer, Verdicts } from '@pumicebarrow/forms';
import type { Ident, MetricFamily, Verdict, World } from '@pumicebarrow/forms';
import { DaemonLife, Newest } from '@pumicebarrow/counter';
import { Purge, Shelf } from '@pumicebarrow/purge';
import { ControlClient, Introducer, TraceDesk, Views, type CharterBody, type Sighting } from '@pumicebarrow/registry';
import { interpret } from 'robot3';
import type { AnswerSink } from './answersink.js';
import { Budgets } from './budgets.js';
import { Certainty } from './certainty.js';
import { Changing } from './changing.js';
import { ConfigurationApi } from './configurationcalls.js';
import type { Engine } from './engine.js';
import { HeadLine } from './headline.js';
import { KeptParts } from './keptparts.js';
import { KeyRevocation } from './keyrevocation.js';
import type { ListBody } from './listbody.js';
import { ListRows } from './listrows.js';
import type { ListSource } from './listsource.js';
import { ListWatch } from './listwatch.js';
import { LoadShedder } from './loadshedder.js';
import { LoadBroker } from './loadbroker.js';
import { LoadNews } from './loadnews.js';
import { OutcomeCounters } from './outcomecounters.js';
import { OutcomeLog } from './outcomelog.js';
import { PerService } from './perservice.js';
import { Pace } from './pace.js';
import { Placement } from './placement.js';
import type { Request } from './request.js';
import { ReadWait } from './readwait.js';
import { RequestDesk } from './requestdesk.js';
import { RequestLog } from './requestlog.js';
import type { RouterOptions } from './routerstartup.js';
import type { Routes } from './routes.js';
import { RouteTable } from './routetable.js';
import { RequestHandler } from './serve.js';
import { ServerHealth } from './serverhealth.js';
import { ServerList } from './serverlist.js';
import { ServerLoads } from './serverloads.js';
import { ServerMetrics } from './servermetrics.js';
import { ServerSpeed } from './serverspeed.js';
import { SharedSound } from './sharedsound.js';
import { Sightings } from './sightings.js';
import { StatusDesk } from './statusdesk.js';
import { Suspicions } from './suspicions.js';

const CHECKIN_INTERVAL_MS = 450;
/** Age of the server list, as a fraction of `drain`, from which on it is too old to route requests by. */
const MAX_LIST_AGE_RATIO = 0.72;
/** Age, as a fraction of `drain`, from which on the router gets the list from other sources. */
const FALLBACK_LIST_AGE_RATIO = 0.5;
/** KV cache size assumed for a server while no service has a configured one. */
const DEFAULT_KV_CACHE_TOKENS = 400_000;

/** Assembles a router daemon: gossip, the client for the control replicas, the server list and request handling. */
export const Router = {
  make(world: World, options: RouterOptions, engine: Engine, source: ListSource) {
    const { clock } = world;
    const log = world.log('router');
    const ident: Ident = {
      id: options.id,
      born: Dice.word(world.chance),
      addr: options.addr,
      site: options.zone,
      role: 'counter',
    };
    const self = (): Ident => ident;
    const lifecycle = interpret(DaemonLife, () => undefined);
    const state = (): string => lifecycle.machine.current;
    /** Shutdown times: when clients are no longer sent to this daemon, and when it ends. */
    let exit = { noClientsAt: Infinity, endAt: Infinity };
    let routes: Routes | null = null;
    const post = Post.make(world, self);
    const store = Shelf.make(SharedSound.doc);
    const viewMembers = (): readonly Ident[] => Views.idents(line.view());
    const purge = Purge.make(world, post, self, store, options.tunes, options.seeds, viewMembers);
    const line = ControlClient.make(world, post, () => [...options.seeds(), ...purge.peers().map((peer) => peer.addr)]);
    const routers = (): readonly Ident[] => purge.peers().filter((p) => p.role === 'counter' && p.id !== ident.id);
    const suspension = Awake.make(clock, () => {
      list.drop();
      freshness.lose();
      if (state() !== 'serving' && state() !== 'draining') return;
      log.warn('This daemon was suspended; confirming the newest configuration.');
      lifecycle.send('woke');
      void freshness.seek();
    });
    const list = ServerList.make(
      clock,
      () => options.drain * MAX_LIST_AGE_RATIO,
      () => suspension.look(),
    );
    const version = (): number => store.mark('charter')?.[0] ?? 0;
    const newest = Newest.make({
      ...{ world, post, line, purge, shelf: store, self, known: routers },
      slept: () => suspension.slept(),
    });
    const freshness = Certainty.make({
      clock,
      // A draining daemon still serves requests and therefore confirms its configuration as well.
      wanted: () => state() === 'asking' || state() === 'draining',
      ask: newest.sure,
      found(): void {
        lifecycle.send('sure');
        log.say('Serving.');
        void head.tick();
      },
    });
    const loads = ServerLoads.make(clock.mono);
    const load = () => loads.total((id) => list.stage(id) === 'prefill');
    const head = HeadLine.make({ clock, post, line, shelf: store, purge, list, version, load, tail: newest.tail });
    const loadPeers = (): readonly Ident[] => (loadAggregator.works() ? [] : head.peers());
    const news = LoadNews.make({ clock, post, loads, peers: loadPeers, routers: head.routers });
    const counters = OutcomeCounters.make();
    const isLargeFleet = (): boolean => (head.routers() ?? 0) > LoadNews.SEEN;
    const loadAggregator = LoadBroker.make({
      ...{ clock, post, loads, shelf: store, view: line.view, large: isLargeFleet, counters },
    });
    const fallback = ListWatch.make({
      ...{ world, post, list, source, peers: routers },
      mark: () => (list.shared() ? store.mark('list') : null),
      worry: () => options.drain * FALLBACK_LIST_AGE_RATIO,
      daemons: head.routers,
    });
    const health = ServerHealth.make(clock),
      prefillRate = Pace.make(),
      slowdown = ServerSpeed.make(clock),
      prefillWait = ReadWait.make(clock, isLargeFleet);
    const kvCacheTokens = (): number =>
      routes?.services().find((s) => (s.engine?.memory ?? 0) > 0)?.engine?.memory ?? DEFAULT_KV_CACHE_TOKENS;
    const prefixCache = KeptParts.make(kvCacheTokens);
    const placement = Placement.make({
      ...{ chance: world.chance, zone: options.zone, list, loads, health, kept: prefixCache },
      changing: () => Changing.now(store),
      linked: engine.linked,
      pace: prefillRate.now,
      speed: slowdown.of,
      wait: prefillWait.now,
    });
    const retryBudgets = Budgets.make(clock, () => options.budget, head.routers);
    const shedders = PerService.make(() => LoadShedder.make(clock, world.chance));
    const unavailable = (): Verdict | null => {
      suspension.look();
      if (state() === 'serving' || (state() === 'draining' && freshness.is())) return null;
      return Verdicts.not('asking', 'This daemon is still confirming the newest configuration.', 0.2);
    };
    const revocation = KeyRevocation.make(
      clock,
      () => routes,
      () => options.revocation.within,
    );
    const keysCurrent = (): boolean => !options.revocation.everywhere || head.unconfirmed() < options.revocation.within;
    const remainingLifetimeMs = (): number => (clock.mono() < exit.noClientsAt ? Infinity : exit.endAt - clock.mono());
    const sightings = Sightings.make({ clock, chance: world.chance, shelf: store, purge, self: ident.id });
    const { suspect, turned: noteRejection } = Suspicions.make({ log, health, loads, sightings });
    const requestLog = RequestLog.make(clock);
    const dependencies = {
      ...{ world, engine, unavailable, remainingLifetimeMs, keysCurrent, revocation, serverList: list, loads, health },
      ...{ kept: prefixCache, pace: prefillRate, speed: slowdown, wait: prefillWait, placement, budgets: retryBudgets },
      ...{ suspect, turned: noteRejection, counters, shedders, loadAggregator },
    };
    const serve = RequestHandler.make({ ...dependencies, log: requestLog, routes: () => routes });
    const serverMetrics = ServerMetrics.make(list, loads);
    const stopFunctions: (() => void)[] = [];
    const routeListeners: ((routes: Routes) => void)[] = [];
    store.heed((doc) => {
      if (doc.name === 'charter') {
        const configuration = (doc.body as CharterBody).charter;
        if (!('routes' in configuration)) return;
        routes = RouteTable.make(configuration);
        revocation.configurationChanged();
        for (const listener of routeListeners) listener(routes);
        log.say(`Configuration ${routes.revision} has taken effect.`);
      }
      if (doc.name === 'list') list.glimpse(ListRows.open(doc.body as ListBody));
      if (!doc.name.startsWith('sight:')) return;
      const { server, by } = doc.body as Sighting;
      if (by !== ident.id) health.hint(server, by, world.chance.real());
    });
    list.heed((servers) => {
      const ids = new Set(servers.map((server) => server.id));
      prefixCache.only(ids);
      health.only(ids);
      slowdown.only(ids);
    });
    TraceDesk.make(post, self, purge, store, freshness.is);
    Introducer.make({ clock, post, me: () => ({ id: ident.id, born: ident.born, addr: ident.addr }), view: line.view });
    RequestDesk.make(post, requestLog);
    StatusDesk.make({
      ...{ clock, post, store, self, state, isConfirmed: freshness.is, view: line.view, isActingHead: () => false },
      list: () => ({ age: list.age(), isFresh: list.young() }),
      ...{ msSinceHeadReply: head.silent, suspected: health.suspected },
      knownDaemons: () => [...purge.peers(), ...head.peers()],
    });
    return {
      ...{ ident, post, line, purge, shelf: store, list, loads, health, budgets: retryBudgets, head },
      ...{ watch: fallback, news, kept: prefixCache, pace: prefillRate },
      life: state,
      routes: (): Routes | null => routes,
      heed(listener: (routes: Routes) => void): void {
        routeListeners.push(listener);
      },
      configuration: ConfigurationApi.make(line),
      serve: (request: Request, writer: AnswerSink): Promise<Verdict | null> => serve(request, writer),
      metrics: (): MetricFamily[] => [...counters.families(), ...serverMetrics.families()],
      /** Readiness: whether new clients should be sent here. */
      ready: (): boolean => {
        suspension.look();
        return state() === 'serving' && routes !== null && list.young();
      },
      start(): void {
        lifecycle.send('begin');
        suspension.start();
        purge.start();
        fallback.start();
        news.start();
        loadAggregator.start();
        void freshness.seek();
        stopFunctions.push(Timer.every(clock, CHECKIN_INTERVAL_MS, head.tick));
        stopFunctions.push(
          OutcomeLog.start({
            clock,
            log,
            requestsByOutcome: counters.requestsByOutcome,
            serverSummary: serverMetrics.text,
          }),
        );
      },
      /**
       * Starts the shutdown: no longer ready, but requests that still arrive are served. After `clientsGoneMs`, only
       * requests that are sure to finish before the end, `endMs` from now, are accepted.
       */
      leave(clientsGoneMs: number, endMs: number): void {
        exit = { noClientsAt: clock.mono() + clientsGoneMs, endAt: clock.mono() + endMs };
        lifecycle.send('leave');
        log.say('Draining before shutdown; no longer ready for new clients.');
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
