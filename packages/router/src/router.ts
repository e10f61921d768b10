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

const CHECKIN = 450;
/** Parts of `drain` after which a list is too old to send by, and after which another way to it is sought. */
const OLDEST = 0.72;
const WORRY = 0.5;
const MEMORY = 400_000;

/** A router daemon put together: purge, its line to the core, the list, and the requests' path. */
export const Router = {
  make(world: World, startup: RouterOptions, engine: Engine, source: ListSource) {
    const { clock } = world;
    const log = world.log('router');
    const ident: Ident = {
      id: startup.id,
      born: Dice.word(world.chance),
      addr: startup.addr,
      site: startup.zone,
      role: 'counter',
    };
    const self = (): Ident => ident;
    const life = interpret(DaemonLife, () => undefined);
    const is = (): string => life.machine.current;
    /** When no new clients are sent here any more, and when this daemon ends. */
    let leaving = { turned: Infinity, end: Infinity };
    let routes: Routes | null = null;
    const post = Post.make(world, self);
    const shelf = Shelf.make(SharedSound.doc);
    const known = (): readonly Ident[] => Views.idents(line.view());
    const purge = Purge.make(world, post, self, shelf, startup.tunes, startup.seeds, known);
    const line = ControlClient.make(world, post, () => [...startup.seeds(), ...purge.peers().map((p) => p.addr)]);
    const peers = (): readonly Ident[] => purge.peers().filter((p) => p.role === 'counter' && p.id !== ident.id);
    const awake = Awake.make(clock, () => {
      list.drop();
      certainty.lose();
      if (is() !== 'serving' && is() !== 'draining') return;
      log.warn('This daemon slept. Asking for the newest configuration.');
      life.send('woke');
      void certainty.seek();
    });
    const list = ServerList.make(
      clock,
      () => startup.drain * OLDEST,
      () => awake.look(),
    );
    const version = (): number => shelf.mark('charter')?.[0] ?? 0;
    const newest = Newest.make({ world, post, line, purge, shelf, self, known: peers, slept: () => awake.slept() });
    const certainty = Certainty.make({
      clock,
      // One that leaves serves what comes all the same, and asks too.
      wanted: () => is() === 'asking' || is() === 'draining',
      ask: newest.sure,
      found(): void {
        life.send('sure');
        log.say('Serving.');
        void head.tick();
      },
    });
    const loads = ServerLoads.make(clock.mono);
    const load = () => loads.total((id) => list.stage(id) === 'prefill');
    const head = HeadLine.make({ clock, post, line, shelf, purge, list, version, load, tail: newest.tail });
    const newsPeers = (): readonly Ident[] => (broker.works() ? [] : head.peers());
    const news = LoadNews.make({ clock, post, loads, peers: newsPeers, routers: head.routers });
    const counters = OutcomeCounters.make();
    const large = (): boolean => (head.routers() ?? 0) > LoadNews.SEEN;
    const broker = LoadBroker.make({ clock, post, loads, shelf, view: line.view, large, counters });
    const watch = ListWatch.make({
      ...{ world, post, list, source, peers },
      mark: () => (list.shared() ? shelf.mark('list') : null),
      worry: () => startup.drain * WORRY,
      daemons: head.routers,
    });
    const health = ServerHealth.make(clock),
      pace = Pace.make(),
      speed = ServerSpeed.make(clock),
      wait = ReadWait.make(clock, large);
    const memory = (): number => routes?.services().find((s) => (s.engine?.memory ?? 0) > 0)?.engine?.memory ?? MEMORY;
    const kept = KeptParts.make(memory);
    const placement = Placement.make({
      ...{ chance: world.chance, zone: startup.zone, list, loads, health, kept },
      changing: () => Changing.now(shelf),
      linked: engine.linked,
      pace: pace.now,
      speed: speed.of,
      wait: wait.now,
    });
    const budgets = Budgets.make(clock, () => startup.budget, head.routers);
    const shedders = PerService.make(() => LoadShedder.make(clock, world.chance));
    const unavailable = (): Verdict | null => {
      awake.look();
      if (is() === 'serving' || (is() === 'draining' && certainty.is())) return null;
      return Verdicts.not('asking', 'This daemon is learning the newest configuration.', 0.2);
    };
    const revocation = KeyRevocation.make(
      clock,
      () => routes,
      () => startup.revocation.within,
    );
    const keysCurrent = (): boolean => !startup.revocation.everywhere || head.unconfirmed() < startup.revocation.within;
    const remainingLifetimeMs = (): number => (clock.mono() < leaving.turned ? Infinity : leaving.end - clock.mono());
    const sightings = Sightings.make({ clock, chance: world.chance, shelf, purge, self: ident.id });
    const { suspect, turned: noteRejection } = Suspicions.make({ log, health, loads, sightings });
    const steps = RequestLog.make(clock);
    const dependencies = {
      world,
      engine,
      unavailable,
      remainingLifetimeMs,
      keysCurrent,
      revocation,
      list,
      loads,
      health,
      kept,
      pace,
      speed,
      wait,
      placement,
      budgets,
      suspect,
      turned: noteRejection,
      counters,
      shedders,
      broker,
    };
    const serve = RequestHandler.make({ ...dependencies, log: steps, routes: () => routes });
    const serverMetrics = ServerMetrics.make(list, loads);
    const stops: (() => void)[] = [];
    const ears: ((now: Routes) => void)[] = [];

    shelf.heed((doc) => {
      if (doc.name === 'charter') {
        const intent = (doc.body as CharterBody).charter;
        if (!('routes' in intent)) return;
        routes = RouteTable.make(intent);
        revocation.configurationChanged();
        for (const fn of ears) fn(routes);
        log.say(`Configuration ${routes.revision} has taken hold.`);
      }
      if (doc.name === 'list') list.glimpse(ListRows.open(doc.body as ListBody));
      if (!doc.name.startsWith('sight:')) return;
      const { server, by } = doc.body as Sighting;
      if (by !== ident.id) health.hint(server, by, world.chance.real());
    });
    list.heed((now) => {
      const ids = new Set(now.map((s) => s.id));
      kept.only(ids);
      health.only(ids);
      speed.only(ids);
    });
    TraceDesk.make(post, self, purge, shelf, certainty.is);
    Introducer.make({ clock, post, me: () => ({ id: ident.id, born: ident.born, addr: ident.addr }), view: line.view });
    RequestDesk.make(post, steps);
    StatusDesk.make({
      ...{ clock, post, shelf, self, state: is, sure: certainty.is, view: line.view, head: () => false },
      list: () => ({ age: list.age(), young: list.young() }),
      ...{ silent: head.silent, suspected: health.suspected },
      known: () => [...purge.peers(), ...head.peers()],
    });
    return {
      ...{ ident, post, line, purge, shelf, list, loads, health, budgets, head, watch, news, kept, pace },
      life: is,
      routes: (): Routes | null => routes,
      heed(fn: (now: Routes) => void): void {
        ears.push(fn);
      },
      configuration: ConfigurationApi.make(line),
      serve: (request: Request, sink: AnswerSink): Promise<Verdict | null> => serve(request, sink),
      metrics: (): MetricFamily[] => [...counters.families(), ...serverMetrics.families()],
      /** Whether new clients are welcome. */
      ready: (): boolean => {
        awake.look();
        return is() === 'serving' && routes !== null && list.young();
      },
      start(): void {
        life.send('begin');
        awake.start();
        purge.start();
        watch.start();
        news.start();
        broker.start();
        void certainty.seek();
        stops.push(Timer.every(clock, CHECKIN, head.tick));
        stops.push(OutcomeLog.start({ clock, log, requests: counters.requestsByOutcome, servers: serverMetrics.text }));
      },
      /**
       * From here on it is not ready; what comes all the same is served. After `turned` ms, when clients should go
       * elsewhere, only what will be done before its end, `end` ms from now.
       */
      leave(turned: number, end: number): void {
        leaving = { turned: clock.mono() + turned, end: clock.mono() + end };
        life.send('leave');
        log.say('Leaving: clients are sent elsewhere.');
      },
      stop(): void {
        life.send('empty');
        for (const s of stops) s();
        awake.stop();
        watch.stop();
        news.stop();
        broker.stop();
        purge.stop();
        post.close();
      },
    };
  },
};
