import { Awake, Dice, Post, Timer, Verdicts, type Ident, type Verdict, type World } from '@pumicebarrow/forms';
import { Purge, Shelf } from '@pumicebarrow/purge';
import { ControlClient, Introducer, RecordCheck, TraceDesk, Views } from '@pumicebarrow/registry';
import { interpret } from 'robot3';
import type { Back } from './back.js';
import { Bucket } from './bucket.js';
import type { CallerSink } from './callersink.js';
import { Casting } from './casting.js';
import { Checkin } from './checkin.js';
import type { CounterSettings } from './countersettings.js';
import { DaemonLife } from './daemonlife.js';
import { Duty } from './duty.js';
import { Admission } from './admission.js';
import { Hails } from './hails.js';
import { RecordChangeHandler } from './hearing.js';
import { Ledger } from './ledger.js';
import { LedgerHandler } from './ledgerdesk.js';
import { Lending } from './lending/lending.js';
import { Loads } from './loads.js';
import { Met } from './met.js';
import { Mixer } from './mixer.js';
import { Newest } from './newest.js';
import { TurnGranter } from './pump.js';
import { RequestRunner } from './run.js';
import { Choice } from './choice.js';
import { Sheet } from './sheet.js';
import { Shuns } from './shuns.js';
import { Sights } from './sights.js';
import type { Town } from './town.js';
import { TownWatch } from './townwatch.js';
import type { Request } from './request.js';
import { RequestDesk } from './requestdesk.js';
import { RequestDiary } from './requestdiary.js';
import { Queue } from './queue.js';
import { LedgerClient } from './witness.js';

/** Retry budget: tokens gained per request, and the most that can be saved up. */
const RETRY_TOKENS_PER_REQUEST = 0.2;
const MAX_RETRY_TOKENS = 3;

/** Assembles a counter daemon: gossip, request ledger, stage assignment and the path of requests. */
export const Counter = {
  make(outerWorld: World, settings: CounterSettings, servers: Back, source: Town) {
    const { clock } = outerWorld;
    const requestLog = RequestDiary.make(clock),
      world = requestLog.listen(outerWorld);
    const log = world.log('counter');
    const { id, addr, site } = settings;
    const ident: Ident = { id, born: Dice.word(world.chance), addr, site, role: 'counter' };
    const self = (): Ident => ident;
    const stateMachine = interpret(DaemonLife, () => undefined);
    const state = (): string => stateMachine.machine.current,
      serving = (): boolean => state() === 'serving';
    const post = Post.make(world, self);
    const recordStore = Shelf.make(RecordCheck.doc);
    const seeds = (): readonly string[] => settings.seeds;
    const purge = Purge.make(world, post, self, recordStore, settings.tunes, seeds, (): readonly Ident[] => [
      ...Views.idents(controlClient.view()),
      ...checkin.roster(),
    ]);
    const controlClient = ControlClient.make(world, post, () => [...seeds(), ...purge.peers().map((p) => p.addr)]);
    const sheet = Sheet.make(recordStore);
    let confirmed = false;
    const known = (): readonly Ident[] => {
      const all = new Map(
        [...purge.peers().filter((p) => p.role === 'counter'), ...checkin.roster(), ident].map((p) => [p.id, p]),
      );
      return [...all.values()];
    };
    const roster = (): readonly Ident[] => (checkin.roster().some((r) => r.id === id) ? checkin.roster() : known());
    const look = () => suspension.look();
    const inventory = TownWatch.make(world, post, source, () => known().filter((p) => p.id !== id), look);
    const ledger = Ledger.make(clock);
    LedgerHandler.make(post, ledger, self);
    const loads = Loads.make(),
      ejections = Shuns.make(clock),
      queue = Queue.make(clock),
      decodeQueue = Queue.make(clock);
    const clocks = Hails.make(clock, servers, () => inventory.all(), look);
    const choice = Choice.make({ hails: clocks, sheet, town: inventory, loads, shuns: ejections, roster });
    const demand = { read: 0, write: 0 };
    /** Requests queued at admission count as demand for prefill only if the prefill servers have no free capacity. */
    const demandNow = () => ({
      read: demand.read + (choice.roomy('prefill', { weight: 1 }, '*turn') ? 0 : queue.weight()),
      write: demand.write,
    });
    const slept = () => suspension.slept();
    const newest = Newest.make({ world, post, line: controlClient, purge, shelf: recordStore, self, known, slept });
    const checkin = Checkin.make({ clock, line: controlClient, sheet, shelf: recordStore, newest, demand: demandNow });
    const suspension = Awake.make(clock, () => {
      duty.drop();
      inventory.drop();
      clocks.drop();
      lending.drop();
      confirmed = false;
      if (state() !== 'serving') return;
      log.warn('The process was suspended. Confirming the newest configuration before serving again.');
      world.tell({ what: 'woke' });
      stateMachine.send('woke');
      void becomeServing();
    });
    const refusal = (): Verdict | null => {
      suspension.look();
      if (state() === 'serving') return null;
      return Verdicts.not(
        state() === 'asking' ? 'asking' : 'leaving',
        state() === 'asking' ? 'This daemon is confirming the newest configuration.' : 'This daemon is shutting down.',
        1,
      );
    };
    const admissionDeps = { site, charter: sheet.charter, open: refusal, young: inventory.young };
    const admission = Admission.make({ ...admissionDeps, queue, choice, loads });
    const grantTurns = TurnGranter.make({ clock, queue, decodeQueue, admission, choice, loads, serving });
    const duty = Duty.make(world, controlClient, self, roster, look);
    const reports = Sights.make({
      world,
      shelf: recordStore,
      sheet,
      shuns: ejections,
      purge,
      town: inventory,
      self: id,
    });
    const shared = { world, sheet, town: inventory, hails: clocks, duty, purge, back: servers, self: () => id };
    const stageAssigner = Casting.make({ ...shared, suspect: (s) => ejections.has(s.id, s.born) });
    const stageBalancer = Mixer.make({ ...shared, load: () => checkin.load() });
    const witness = LedgerClient.make(world, post, roster, known);
    const retryBudget = Bucket.make(RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS);
    /** After a start or a suspension, the local configuration may be older than one held before. */
    const sure = (): boolean => {
      suspension.look();
      return confirmed;
    };
    const queues = { queue, decodeQueue, choice, loads, demand };
    const runDeps = { ...shared, ...queues, admission, witness, retryBudget, sighted: reports.saw, grantTurns };
    const enter: typeof decodeQueue.enter = (route, deadline) => {
      lending.handed(route);
      return decodeQueue.enter(route, deadline);
    };
    const freshness = { version: sheet.version, sure };
    const run = RequestRunner.make({ ...runDeps, decodeQueue: { ...decodeQueue, enter }, ...freshness });
    const lendingDeps = { look, load: () => checkin.load(), roster, ...freshness };
    const lending = Lending.make({
      ...runDeps,
      ...admissionDeps,
      ...lendingDeps,
      post,
      line: controlClient,
      shelf: recordStore,
      waiting: (part) => (part === 'prefill' ? queue : decodeQueue).weight(),
      serving,
    });
    const stopTimers: (() => void)[] = [];

    RecordChangeHandler.make({ log, recordStore, grantTurns, stageAssigner, ejections, failureReports: reports });
    inventory.heed(() => {
      clocks.tick();
      grantTurns();
    });
    const becomeServing = async (): Promise<void> => {
      while (state() === 'asking') {
        const isNewest = await newest.sure();
        if (isNewest && state() === 'asking') {
          confirmed = true;
          stateMachine.send('sure');
          log.say('Serving.');
          world.tell({ what: 'serving', version: sheet.version() });
          grantTurns();
          return;
        }
        await Timer.nap(clock, 150);
      }
    };
    const met = Met.make(clock, known);
    const checkIn = async (): Promise<void> => {
      met.tick();
      if (state() !== 'draining' && state() !== 'stopped') await checkin.tick();
    };
    TraceDesk.make(post, self, purge, recordStore, sure);
    Introducer.make({ clock: world.clock, post, me: self, view: controlClient.view });
    RequestDesk.make(post, requestLog, ledger);
    const components = { ident, admission, post, line: controlClient, purge, shelf: recordStore, watch: inventory };
    return {
      ...components,
      ...{ sheet, ledger, duty, ejections, lending, roster, met: met.all, life: state },
      request(clientRequest: Request, writer: CallerSink): Promise<Verdict> {
        lending.arrived(clientRequest.rule);
        return run(clientRequest, writer);
      },
      /** Two daemons (id/incarnation) that a client may name as the owners of a request. */
      owners: (): string[] =>
        Dice.some(
          world.chance,
          roster().filter((r) => r.role === 'counter'),
          2,
        ).map((r) => `${r.id}/${r.born}`),
      /** Version of the configuration; null while it is not confirmed to be the newest. */
      version: (): number | null => (sure() ? sheet.version() : null),
      waiting: queue.total,
      under: admission.under,
      level: retryBudget.level,
      start(): void {
        stateMachine.send('begin');
        suspension.start();
        purge.start();
        inventory.start();
        clocks.start();
        lending.start();
        void becomeServing();
        stopTimers.push(Timer.every(clock, 400, checkIn));
        stopTimers.push(
          Timer.every(clock, 300, async () => {
            if (state() !== 'serving') return;
            duty.tick([...stageAssigner.names(), stageBalancer.name, ...lending.names()]);
            stageBalancer.tick();
            void lending.tick();
            await stageAssigner.tick();
          }),
        );
        stopTimers.push(Timer.every(clock, 50, grantTurns));
      },
      /** Stops accepting requests, lets those in flight finish, and gives up the leases of this daemon. */
      async leave(graceMs: number): Promise<void> {
        stateMachine.send('leave');
        log.say('Shutting down: no more requests are accepted.');
        queue.clear();
        const deadline = clock.mono() + graceMs;
        await lending.leave(Math.min(deadline, clock.mono() + graceMs / 2));
        await controlClient.leave(duty.names());
        duty.drop();
        while (admission.under() > 0 && clock.mono() < deadline) await Timer.nap(clock, 50);
        stateMachine.send('empty');
      },
      stop(): void {
        for (const s of stopTimers) s();
        suspension.stop();
        inventory.stop();
        clocks.stop();
        lending.stop();
        purge.stop();
        post.close();
      },
    };
  },
};
