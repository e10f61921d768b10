import { SuspendDetector, Random, Messaging, Timer, Verdicts } from '@pumicebarrow/forms';
import type { Ident, Verdict, World } from '@pumicebarrow/forms';
import { Gossip, InMemoryRecordStore } from '@pumicebarrow/purge';
import { ControlClient, Introducer, RecordCheck, TraceService, Views } from '@pumicebarrow/registry';
import { interpret } from 'robot3';
import type { ModelServerClient } from './modelserverclient.js';
import { RetryBudget } from './retrybudget.js';
import type { ResponseWriter } from './responsewriter.js';
import { StageAssigner } from './stageassigner.js';
import { HeadCheckin } from './headcheckin.js';
import type { CounterSettings } from './countersettings.js';
import { DaemonStateMachine } from './daemonstatemachine.js';
import { LeaseManager } from './leasemanager.js';
import { AdmissionControl } from './admissioncontrol.js';
import { ServerClockTable } from './serverclocktable.js';
import { RecordChangeHandler } from './recordchangehandler.js';
import { Ledger } from './ledger.js';
import { LedgerHandler } from './ledgerhandler.js';
import { LendingService } from './lending/lendingservice.js';
import { LoadTracker } from './loadtracker.js';
import { RecentDaemons } from './recentdaemons.js';
import { StageBalancer } from './stagebalancer.js';
import { ConfigurationCatchUp } from './configurationcatchup.js';
import { TurnGranter } from './turngranter.js';
import { RequestRunner } from './requestrunner.js';
import { LiveServerPicker } from './liveserverpicker.js';
import { FleetRecords } from './fleetrecords.js';
import { Ejections } from './ejections.js';
import { FailureReports } from './failurereports.js';
import type { InventorySource } from './inventorysource.js';
import { InventoryWatcher } from './inventorywatcher.js';
import type { ClientRequest } from './clientrequest.js';
import { RequestLogHandler } from './requestloghandler.js';
import { RequestLog } from './requestlog.js';
import { Queue } from './queue.js';
import { LedgerClient } from './ledgerclient.js';

/** Retry budget: tokens gained per request, and the most that can be saved up. */
const RETRY_TOKENS_PER_REQUEST = 0.2;
const MAX_RETRY_TOKENS = 3;

/** Assembles a counter daemon: gossip, request ledger, stage assignment and the path of requests. */
export const Counter = {
  make(outerWorld: World, settings: CounterSettings, servers: ModelServerClient, source: InventorySource) {
    const { clock } = outerWorld;
    const requestLog = RequestLog.make(clock),
      world = requestLog.recordEvents(outerWorld);
    const log = world.log('counter');
    const { id, addr, site } = settings;
    const ident: Ident = { id, born: Random.hexId(world.random), addr, site, role: 'counter' };
    const self = (): Ident => ident;
    const stateMachine = interpret(DaemonStateMachine, () => undefined);
    const state = (): string => stateMachine.machine.current,
      serving = (): boolean => state() === 'serving';
    const post = Messaging.make(world, self);
    const recordStore = InMemoryRecordStore.make(RecordCheck.isValid);
    const seeds = (): readonly string[] => settings.seeds;
    const purge = Gossip.make(world, post, self, recordStore, settings.tunes, seeds, (): readonly Ident[] => [
      ...Views.gossipPeers(controlClient.view()),
      ...checkin.roster(),
    ]);
    const controlClient = ControlClient.make(world, post, () => [...seeds(), ...purge.peers().map((p) => p.addr)]);
    const sheet = FleetRecords.make(recordStore);
    let confirmed = false;
    const known = (): readonly Ident[] => {
      const all = new Map(
        [...purge.peers().filter((p) => p.role === 'counter'), ...checkin.roster(), ident].map((p) => [p.id, p]),
      );
      return [...all.values()];
    };
    const roster = (): readonly Ident[] => (checkin.roster().some((r) => r.id === id) ? checkin.roster() : known());
    const look = () => suspension.check();
    const inventory = InventoryWatcher.make(world, post, source, () => known().filter((p) => p.id !== id), look);
    const ledger = Ledger.make(clock);
    LedgerHandler.make(post, ledger, self);
    const loads = LoadTracker.make(),
      ejections = Ejections.make(clock),
      queue = Queue.make(clock),
      decodeQueue = Queue.make(clock);
    const clocks = ServerClockTable.make(clock, servers, () => inventory.all(), look);
    const choice = LiveServerPicker.make({ hails: clocks, sheet, town: inventory, loads, ejections, roster });
    const demand = { read: 0, write: 0 };
    /** Requests queued at admission count as demand for prefill only if the prefill servers have no free capacity. */
    const demandNow = () => ({
      read: demand.read + (choice.hasRoom('prefill', { weight: 1 }, '*turn') ? 0 : queue.weight()),
      write: demand.write,
    });
    const slept = () => suspension.suspensions();
    const newest = ConfigurationCatchUp.make({ world, post, controlClient, purge, recordStore, self, known, slept });
    const checkin = HeadCheckin.make({ clock, controlClient, sheet, recordStore, newest, demand: demandNow });
    const suspension = SuspendDetector.make(clock, () => {
      duty.forgetAll();
      inventory.invalidate();
      clocks.forgetAll();
      lending.forgetLeases();
      confirmed = false;
      if (state() !== 'serving') return;
      log.warn('The process was suspended. Confirming the newest configuration before serving again.');
      world.recordEvent({ what: 'woke' });
      stateMachine.send('woke');
      void becomeServing();
    });
    const refusal = (): Verdict | null => {
      suspension.check();
      if (state() === 'serving') return null;
      return Verdicts.notRun(
        state() === 'asking' ? 'asking' : 'leaving',
        state() === 'asking' ? 'This daemon is confirming the newest configuration.' : 'This daemon is shutting down.',
        1,
      );
    };
    const admissionDeps = { site, charter: sheet.configuration, open: refusal, young: inventory.isFresh };
    const admission = AdmissionControl.make({ ...admissionDeps, queue, choice, loads });
    const grantTurns = TurnGranter.make({ clock, queue, decodeQueue, admission, choice, loads, serving });
    const duty = LeaseManager.make(world, controlClient, self, roster, look);
    const reports = FailureReports.make({
      world,
      recordStore,
      sheet,
      ejections,
      purge,
      town: inventory,
      self: id,
    });
    const shared = { world, sheet, town: inventory, hails: clocks, duty, purge, back: servers, self: () => id };
    const stageAssigner = StageAssigner.make({ ...shared, isSuspected: (s) => ejections.has(s.id, s.born) });
    const stageBalancer = StageBalancer.make({ ...shared, load: () => checkin.load() });
    const witness = LedgerClient.make(world, post, roster, known);
    const retryBudget = RetryBudget.make(RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS);
    /** After a start or a suspension, the local configuration may be older than one held before. */
    const sure = (): boolean => {
      suspension.check();
      return confirmed;
    };
    const queues = { queue, decodeQueue, choice, loads, demand };
    const runDeps = { ...shared, ...queues, admission, witness, retryBudget, sighted: reports.report, grantTurns };
    const enter: typeof decodeQueue.enter = (route, deadline) => {
      lending.onPrefillDone(route);
      return decodeQueue.enter(route, deadline);
    };
    const freshness = { version: sheet.version, sure };
    const run = RequestRunner.make({ ...runDeps, decodeQueue: { ...decodeQueue, enter }, ...freshness });
    const lendingDeps = { look, load: () => checkin.load(), roster, ...freshness };
    const lending = LendingService.make({
      ...runDeps,
      ...admissionDeps,
      ...lendingDeps,
      post,
      controlClient,
      recordStore,
      waiting: (part) => (part === 'prefill' ? queue : decodeQueue).weight(),
      serving,
    });
    const stopTimers: (() => void)[] = [];

    RecordChangeHandler.make({ log, recordStore, grantTurns, stageAssigner, ejections, failureReports: reports });
    inventory.onChange(() => {
      clocks.tick();
      grantTurns();
    });
    const becomeServing = async (): Promise<void> => {
      while (state() === 'asking') {
        const isNewest = await newest.confirmNewest();
        if (isNewest && state() === 'asking') {
          confirmed = true;
          stateMachine.send('sure');
          log.info('Serving.');
          world.recordEvent({ what: 'serving', version: sheet.version() });
          grantTurns();
          return;
        }
        await Timer.sleep(clock, 150);
      }
    };
    const met = RecentDaemons.make(clock, known);
    const checkIn = async (): Promise<void> => {
      met.tick();
      if (state() !== 'draining' && state() !== 'stopped') await checkin.tick();
    };
    TraceService.make(post, self, purge, recordStore, sure);
    Introducer.make({ clock: world.clock, post, me: self, view: controlClient.view });
    RequestLogHandler.make(post, requestLog, ledger);
    const components = { ident, admission, post, controlClient, purge, recordStore, inventory };
    return {
      ...components,
      ...{ sheet, ledger, duty, ejections, lending, roster, recentDaemons: met.all, lifecycleState: state },
      request(clientRequest: ClientRequest, writer: ResponseWriter): Promise<Verdict> {
        lending.onArrival(clientRequest.rule);
        return run(clientRequest, writer);
      },
      /** Two daemons (id/incarnation) that a client may name as the owners of a request. */
      owners: (): string[] =>
        Random.sample(
          world.random,
          roster().filter((r) => r.role === 'counter'),
          2,
        ).map((r) => `${r.id}/${r.born}`),
      /** Version of the configuration; null while it is not confirmed to be the newest. */
      version: (): number | null => (sure() ? sheet.version() : null),
      queuedTotal: queue.total,
      inFlight: admission.inFlight,
      retryTokens: retryBudget.level,
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
            duty.tick([...stageAssigner.leaseNames(), stageBalancer.leaseName, ...lending.leaseNames()]);
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
        log.info('Shutting down: no more requests are accepted.');
        queue.clear();
        const deadline = clock.mono() + graceMs;
        await lending.leave(Math.min(deadline, clock.mono() + graceMs / 2));
        await controlClient.leave(duty.names());
        duty.forgetAll();
        while (admission.inFlight() > 0 && clock.mono() < deadline) await Timer.sleep(clock, 50);
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
