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

/** Extra tries: so many a request, and so many saved at the most. */
const RETRY_TOKENS_PER_REQUEST = 0.2;
const MAX_RETRY_TOKENS = 3;

/** A counter daemon put together: purge, ledger, casting and the requests' path. */
export const Counter = {
  make(outerWorld: World, settings: CounterSettings, modelServers: Back, inventorySource: Town) {
    const { clock } = outerWorld;
    const requestLog = RequestDiary.make(clock),
      world = requestLog.listen(outerWorld);
    const log = world.log('counter');
    const ident: Ident = {
      id: settings.id,
      born: Dice.word(world.chance),
      addr: settings.addr,
      site: settings.site,
      role: 'counter',
    };
    const self = (): Ident => ident;
    const stateMachine = interpret(DaemonLife, () => undefined);
    const lifecycleState = (): string => stateMachine.machine.current,
      serving = (): boolean => lifecycleState() === 'serving';
    const post = Post.make(world, self);
    const recordStore = Shelf.make(RecordCheck.doc);
    const seeds = (): readonly string[] => settings.seeds;
    const purge = Purge.make(world, post, self, recordStore, settings.tunes, seeds, (): readonly Ident[] => [
      ...Views.idents(controlClient.view()),
      ...checkin.roster(),
    ]);
    const controlClient = ControlClient.make(world, post, () => [...seeds(), ...purge.peers().map((p) => p.addr)]);
    const fleetRecords = Sheet.make(recordStore);
    let confirmedNewest = false;
    const knownDaemons = (): readonly Ident[] => {
      const all = new Map(
        [...purge.peers().filter((p) => p.role === 'counter'), ...checkin.roster(), ident].map((p) => [p.id, p]),
      );
      return [...all.values()];
    };
    const liveDaemons = (): readonly Ident[] => (checkin.roster().some((r) => r.id === ident.id) ? checkin.roster() : knownDaemons());
    const inventory = TownWatch.make(
      world,
      post,
      inventorySource,
      () => knownDaemons().filter((p) => p.id !== ident.id),
      () => suspendDetector.look(),
    );
    const ledger = Ledger.make(clock);
    LedgerHandler.make(post, ledger, self);
    const loads = Loads.make(),
      ejections = Shuns.make(clock),
      queue = Queue.make(clock),
      decodeQueue = Queue.make(clock);
    const serverClocks = Hails.make(
      clock,
      modelServers,
      () => inventory.all(),
      () => suspendDetector.look(),
    );
    const serverPicker = Choice.make({ hails: serverClocks, sheet: fleetRecords, town: inventory, loads, shuns: ejections, roster: liveDaemons });
    const demand = { read: 0, write: 0 };
    /** Requests at admission are wanting for readers only if it is the readers that have no room. */
    const demandNow = () => ({
      read: demand.read + (serverPicker.roomy('prefill', { weight: 1 }, '*turn') ? 0 : queue.weight()),
      write: demand.write,
    });
    const catchUp = Newest.make({ world, post, line: controlClient, purge, shelf: recordStore, self, known: knownDaemons, slept: () => suspendDetector.slept() });
    const checkin = Checkin.make({ clock, line: controlClient, sheet: fleetRecords, shelf: recordStore, newest: catchUp, demand: demandNow });
    const suspendDetector = Awake.make(clock, () => {
      leases.drop();
      inventory.drop();
      serverClocks.drop();
      lending.drop();
      confirmedNewest = false;
      if (lifecycleState() !== 'serving') return;
      log.warn('This daemon slept. Asking for the newest charter.');
      world.tell({ what: 'woke' });
      stateMachine.send('woke');
      void becomeServing();
    });
    const admissionRefusal = (): Verdict | null => {
      suspendDetector.look();
      if (lifecycleState() === 'serving') return null;
      return Verdicts.not(
        lifecycleState() === 'asking' ? 'asking' : 'leaving',
        lifecycleState() === 'asking' ? 'This daemon is learning the newest charter.' : 'This daemon is leaving.',
        1,
      );
    };
    const admissionInputs = { site: ident.site, charter: fleetRecords.charter, open: admissionRefusal, young: inventory.young };
    const admission = Admission.make({ ...admissionInputs, queue, choice: serverPicker, loads });
    const grantTurns = TurnGranter.make({ clock, queue, decodeQueue, admission, choice: serverPicker, loads, serving });
    const leases = Duty.make(world, controlClient, self, liveDaemons, () => suspendDetector.look());
    const failureReports = Sights.make({ world, shelf: recordStore, sheet: fleetRecords, shuns: ejections, purge, town: inventory, self: ident.id });
    const stageInputs = { world, sheet: fleetRecords, town: inventory, hails: serverClocks, duty: leases, purge, back: modelServers, self: (): string => ident.id };
    const stageAssigner = Casting.make({ ...stageInputs, suspect: (s) => ejections.has(s.id, s.born) });
    const stageBalancer = Mixer.make({ ...stageInputs, load: () => checkin.load() });
    const ledgerClient = LedgerClient.make(world, post, liveDaemons, knownDaemons);
    const retryBudget = Bucket.make(RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS);
    /** A daemon that has just started, or slept, may hold an older charter than it once did. */
    const isConfirmedNewest = (): boolean => {
      suspendDetector.look();
      return confirmedNewest;
    };
    const queues = { queue, decodeQueue, choice: serverPicker, loads };
    const runnerInputs = { ...stageInputs, ...queues, admission, witness: ledgerClient, retryBudget, sighted: failureReports.saw, grantTurns, demand };
    const enterDecodeQueue: typeof decodeQueue.enter = (route, deadline) => {
      lending.handed(route);
      return decodeQueue.enter(route, deadline);
    };
    const request = RequestRunner.make({ ...runnerInputs, decodeQueue: { ...decodeQueue, enter: enterDecodeQueue }, version: fleetRecords.version, sure: isConfirmedNewest });
    const lendingInputs = { look: () => suspendDetector.look(), load: () => checkin.load(), roster: liveDaemons, version: fleetRecords.version, sure: isConfirmedNewest };
    const lending = Lending.make({
      ...runnerInputs,
      ...admissionInputs,
      ...lendingInputs,
      post,
      line: controlClient,
      shelf: recordStore,
      waiting: (part) => (part === 'prefill' ? queue : decodeQueue).weight(),
      serving,
    });
    const stopTimers: (() => void)[] = [];

    RecordChangeHandler.make({ log, recordStore, grantTurns, stageAssigner, ejections, failureReports });
    inventory.heed(() => {
      serverClocks.tick();
      grantTurns();
    });
    const becomeServing = async (): Promise<void> => {
      while (lifecycleState() === 'asking') {
        const confirmed = await catchUp.sure();
        if (confirmed && lifecycleState() === 'asking') {
          confirmedNewest = true;
          stateMachine.send('sure');
          log.say('Serving.');
          world.tell({ what: 'serving', version: fleetRecords.version() });
          grantTurns();
          return;
        }
        await Timer.nap(clock, 150);
      }
    };
    const recentDaemons = Met.make(clock, knownDaemons);
    const checkIn = async (): Promise<void> => {
      recentDaemons.tick();
      if (lifecycleState() !== 'draining' && lifecycleState() !== 'stopped') await checkin.tick();
    };
    TraceDesk.make(post, self, purge, recordStore, isConfirmedNewest);
    Introducer.make({ clock: world.clock, post, me: self, view: controlClient.view });
    RequestDesk.make(post, requestLog, ledger);
    const components = { ident, admission, post, line: controlClient, purge, shelf: recordStore, sheet: fleetRecords, watch: inventory, ledger, duty: leases, ejections: ejections, lending };
    return {
      ...components,
      ...{ roster: liveDaemons, met: recentDaemons.all, life: lifecycleState },
      request(clientRequest: Request, writer: CallerSink): Promise<Verdict> {
        lending.arrived(clientRequest.rule);
        return request(clientRequest, writer);
      },
      /** Two lives that a caller may name as the owners of a request. */
      owners: (): string[] =>
        Dice.some(
          world.chance,
          liveDaemons().filter((r) => r.role === 'counter'),
          2,
        ).map((r) => `${r.id}/${r.born}`),
      /** The charter's version; null while this daemon can't tell. */
      version: (): number | null => (isConfirmedNewest() ? fleetRecords.version() : null),
      waiting: queue.total,
      under: admission.under,
      level: retryBudget.level,
      start(): void {
        stateMachine.send('begin');
        suspendDetector.start();
        purge.start();
        inventory.start();
        serverClocks.start();
        lending.start();
        void becomeServing();
        stopTimers.push(Timer.every(clock, 400, checkIn));
        stopTimers.push(
          Timer.every(clock, 300, async () => {
            if (lifecycleState() !== 'serving') return;
            leases.tick([...stageAssigner.names(), stageBalancer.name, ...lending.names()]);
            stageBalancer.tick();
            void lending.tick();
            await stageAssigner.tick();
          }),
        );
        stopTimers.push(Timer.every(clock, 50, grantTurns));
      },
      /** Stops letting requests in, lets those under way end, gives up its leases. */
      async leave(graceMs: number): Promise<void> {
        stateMachine.send('leave');
        log.say('Leaving: no more requests are let in.');
        queue.clear();
        const deadline = clock.mono() + graceMs;
        await lending.leave(Math.min(deadline, clock.mono() + graceMs / 2));
        await controlClient.leave(leases.names());
        leases.drop();
        while (admission.under() > 0 && clock.mono() < deadline) await Timer.nap(clock, 50);
        stateMachine.send('empty');
      },
      stop(): void {
        for (const s of stopTimers) s();
        suspendDetector.stop();
        inventory.stop();
        serverClocks.stop();
        lending.stop();
        purge.stop();
        post.close();
      },
    };
  },
};
