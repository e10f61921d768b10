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
import { Hearing } from './hearing.js';
import { Ledger } from './ledger.js';
import { LedgerDesk } from './ledgerdesk.js';
import { Lending } from './lending/lending.js';
import { Loads } from './loads.js';
import { Met } from './met.js';
import { Mixer } from './mixer.js';
import { Newest } from './newest.js';
import { Pump } from './pump.js';
import { Run } from './run.js';
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
import { Witness } from './witness.js';

/** Extra tries: so many a request, and so many saved at the most. */
const RATE = 0.2;
const CAP = 3;

/** A counter daemon put together: purge, ledger, casting and the requests' path. */
export const Counter = {
  make(outer: World, settings: CounterSettings, back: Back, town: Town) {
    const { clock } = outer;
    const diary = RequestDiary.make(clock),
      world = diary.listen(outer);
    const log = world.log('counter');
    const ident: Ident = {
      id: settings.id,
      born: Dice.word(world.chance),
      addr: settings.addr,
      site: settings.site,
      role: 'counter',
    };
    const self = (): Ident => ident;
    const life = interpret(DaemonLife, () => undefined);
    const is = (): string => life.machine.current,
      serving = (): boolean => is() === 'serving';
    const post = Post.make(world, self);
    const shelf = Shelf.make(RecordCheck.doc);
    const seeds = (): readonly string[] => settings.seeds;
    const purge = Purge.make(world, post, self, shelf, settings.tunes, seeds, (): readonly Ident[] => [
      ...Views.idents(line.view()),
      ...checkin.roster(),
    ]);
    const line = ControlClient.make(world, post, () => [...seeds(), ...purge.peers().map((p) => p.addr)]);
    const sheet = Sheet.make(shelf);
    let certain = false;
    const known = (): readonly Ident[] => {
      const all = new Map(
        [...purge.peers().filter((p) => p.role === 'counter'), ...checkin.roster(), ident].map((p) => [p.id, p]),
      );
      return [...all.values()];
    };
    const crew = (): readonly Ident[] => (checkin.roster().some((r) => r.id === ident.id) ? checkin.roster() : known());
    const watch = TownWatch.make(
      world,
      post,
      town,
      () => known().filter((p) => p.id !== ident.id),
      () => awake.look(),
    );
    const ledger = Ledger.make(clock);
    LedgerDesk.make(post, ledger, self);
    const loads = Loads.make(),
      shuns = Shuns.make(clock),
      queue = Queue.make(clock),
      hands = Queue.make(clock);
    const hails = Hails.make(
      clock,
      back,
      () => watch.all(),
      () => awake.look(),
    );
    const choice = Choice.make({ hails, sheet, town: watch, loads, shuns, roster: crew });
    const demand = { read: 0, write: 0 };
    /** Requests at admission are wanting for readers only if it is the readers that have no room. */
    const demandNow = () => ({
      read: demand.read + (choice.roomy('prefill', { weight: 1 }, '*turn') ? 0 : queue.weight()),
      write: demand.write,
    });
    const newest = Newest.make({ world, post, line, purge, shelf, self, known, slept: () => awake.slept() });
    const checkin = Checkin.make({ clock, line, sheet, shelf, newest, demand: demandNow });
    const awake = Awake.make(clock, () => {
      duty.drop();
      watch.drop();
      hails.drop();
      lending.drop();
      certain = false;
      if (is() !== 'serving') return;
      log.warn('This daemon slept. Asking for the newest charter.');
      world.tell({ what: 'woke' });
      life.send('woke');
      void ask();
    });
    const shut = (): Verdict | null => {
      awake.look();
      if (is() === 'serving') return null;
      return Verdicts.not(
        is() === 'asking' ? 'asking' : 'leaving',
        is() === 'asking' ? 'This daemon is learning the newest charter.' : 'This daemon is leaving.',
        1,
      );
    };
    const door = { site: ident.site, charter: sheet.charter, open: shut, young: watch.young };
    const admission = Admission.make({ ...door, queue, choice, loads });
    const pump = Pump.make({ clock, queue, hands, admission, choice, loads, serving });
    const duty = Duty.make(world, line, self, crew, () => awake.look());
    const sights = Sights.make({ world, shelf, sheet, shuns, purge, town: watch, self: ident.id });
    const shared = { world, sheet, town: watch, hails, duty, purge, back, self: (): string => ident.id };
    const casting = Casting.make({ ...shared, suspect: (s) => shuns.has(s.id, s.born) });
    const mixer = Mixer.make({ ...shared, load: () => checkin.load() });
    const witness = Witness.make(world, post, crew, known);
    const bucket = Bucket.make(RATE, CAP);
    /** A daemon that has just started, or slept, may hold an older charter than it once did. */
    const sure = (): boolean => {
      awake.look();
      return certain;
    };
    const lists = { queue, hands, choice, loads };
    const tools = { ...shared, ...lists, admission, witness, bucket, sighted: sights.saw, pump, demand };
    const wanted: typeof hands.enter = (rule, due) => {
      lending.handed(rule);
      return hands.enter(rule, due);
    };
    const request = Run.make({ ...tools, hands: { ...hands, enter: wanted }, version: sheet.version, sure });
    const seeing = { look: () => awake.look(), load: () => checkin.load(), roster: crew, version: sheet.version, sure };
    const lending = Lending.make({
      ...tools,
      ...door,
      ...seeing,
      post,
      line,
      shelf,
      waiting: (part) => (part === 'prefill' ? queue : hands).weight(),
      serving,
    });
    const stops: (() => void)[] = [];

    Hearing.make({ log, shelf, pump, casting, shuns, sights });
    watch.heed(() => {
      hails.tick();
      pump();
    });
    const ask = async (): Promise<void> => {
      while (is() === 'asking') {
        const sure = await newest.sure();
        if (sure && is() === 'asking') {
          certain = true;
          life.send('sure');
          log.say('Serving.');
          world.tell({ what: 'serving', version: sheet.version() });
          pump();
          return;
        }
        await Timer.nap(clock, 150);
      }
    };
    const met = Met.make(clock, known);
    const meet = async (): Promise<void> => {
      met.tick();
      if (is() !== 'draining' && is() !== 'stopped') await checkin.tick();
    };
    TraceDesk.make(post, self, purge, shelf, sure);
    Introducer.make({ clock: world.clock, post, me: self, view: line.view });
    RequestDesk.make(post, diary, ledger);
    const parts = { ident, admission, post, line, purge, shelf, sheet, watch, ledger, duty, shuns, lending };
    return {
      ...parts,
      ...{ roster: crew, met: met.all, life: is },
      request(v: Request, sink: CallerSink): Promise<Verdict> {
        lending.arrived(v.rule);
        return request(v, sink);
      },
      /** Two lives that a caller may name as the owners of a request. */
      owners: (): string[] =>
        Dice.some(
          world.chance,
          crew().filter((r) => r.role === 'counter'),
          2,
        ).map((r) => `${r.id}/${r.born}`),
      /** The charter's version; null while this daemon can't tell. */
      version: (): number | null => (sure() ? sheet.version() : null),
      waiting: queue.total,
      under: admission.under,
      level: bucket.level,
      start(): void {
        life.send('begin');
        awake.start();
        purge.start();
        watch.start();
        hails.start();
        lending.start();
        void ask();
        stops.push(Timer.every(clock, 400, meet));
        stops.push(
          Timer.every(clock, 300, async () => {
            if (is() !== 'serving') return;
            duty.tick([...casting.names(), mixer.name, ...lending.names()]);
            mixer.tick();
            void lending.tick();
            await casting.tick();
          }),
        );
        stops.push(Timer.every(clock, 50, pump));
      },
      /** Stops letting requests in, lets those under way end, gives up its leases. */
      async leave(ms: number): Promise<void> {
        life.send('leave');
        log.say('Leaving: no more requests are let in.');
        queue.clear();
        const end = clock.mono() + ms;
        await lending.leave(Math.min(end, clock.mono() + ms / 2));
        await line.leave(duty.names());
        duty.drop();
        while (admission.under() > 0 && clock.mono() < end) await Timer.nap(clock, 50);
        life.send('empty');
      },
      stop(): void {
        for (const s of stops) s();
        awake.stop();
        watch.stop();
        hails.stop();
        lending.stop();
        purge.stop();
        post.close();
      },
    };
  },
};
