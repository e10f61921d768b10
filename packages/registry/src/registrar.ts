import { Err, Ok, Post, type Doc, type Ident, type Result, type World } from '@pumicebarrow/forms';
import { Purge, Shelf, type Tunes } from '@pumicebarrow/purge';
import { Core } from './core.js';
import { ControlClient } from './chain/controlclient.js';
import { Self } from './membership/memberidentity.js';
import { RecordCheck } from './state/recordcheck.js';
import { Store } from './state/store.js';
import { TraceDesk } from './service/tracedesk.js';
import { Views } from './consensus/views.js';

/** Addresses to begin with; those that may change while the daemon lives are asked for. */
type Seeds = readonly string[] | (() => readonly string[]);
type Settings = { id: string; addr: string; site: string; seeds: Seeds; tunes: Tunes } & {
  /** How many machines may be lost at once: the first view has twice as many members and one more. */
  losses?: number;
  /** Whether this daemon, with an empty folder, may have a part in making the first view; else it only joins. */
  first?: boolean;
  /** Which docs this daemon holds, where that is more than the registry's own. */
  sound?: (doc: Doc) => boolean;
  /** Daemons that are known by other means than the core's check-ins. */
  known?: () => readonly Ident[];
};

/** A core daemon put together: disk, core and purge. */
export const Registrar = {
  async make(world: World, settings: Settings) {
    if (!world.disk) return Err('a core daemon needs a data folder') as Result<never, string>;
    const store = Store.make(world, world.disk);
    const log = world.log('core');
    const restored = await store.load();
    if (restored.err) return Err(restored.val) as Result<never, string>;
    if (restored.val.bad) log.warn('A damaged file was found; all were set aside. Rejoining as a newcomer.');
    const incarnation = await Self.born(world, store, restored.val.born);
    if (incarnation.err) return Err(incarnation.val) as Result<never, string>;
    const { seq, charter } = restored.val.state;
    const diskSummary =
      restored.val.born === null ? 'with an empty disk' : `holding ${seq}, configuration ${charter?.version ?? 0}`;
    log.say(`Started as ${settings.id}/${incarnation.val} ${diskSummary}, view ${restored.val.view?.epoch ?? 0}.`);
    const ident: Ident = {
      id: settings.id,
      born: incarnation.val,
      addr: settings.addr,
      site: settings.site,
      role: 'registry',
    };
    const post = Post.make(world, () => ident);
    const recordStore = Shelf.make(settings.sound ?? RecordCheck.doc);
    const configuredSeeds = settings.seeds;
    const seeds = (): readonly string[] =>
      typeof configuredSeeds === 'function' ? configuredSeeds() : configuredSeeds;
    const purge = Purge.make(
      world,
      post,
      () => ident,
      recordStore,
      settings.tunes,
      seeds,
      (): readonly Ident[] => [
        ...Views.idents(core.view()),
        ...core.service.liveDaemons(),
        ...(settings.known?.() ?? []),
      ],
    );
    const coreAddresses = (): string[] => [
      ...new Set([
        ...seeds(),
        ...purge
          .peers()
          .filter((p) => p.role === 'registry')
          .map((p) => p.addr),
      ]),
    ];
    const core = Core.make(world, post, () => ident, store, restored.val, {
      coreAddresses: coreAddresses,
      seeds,
      losses: settings.losses ?? 1,
      mayFormFirstView: settings.first ?? true,
      onCommitted: (state) => {
        if (!state.charter || state.charter.version <= (recordStore.mark('charter')?.[0] ?? 0)) return;
        world.tell({ what: 'confirmed', version: state.charter.version, plan: state.charter.plan });
        purge.publish({
          name: 'charter',
          mark: [state.charter.version, 0],
          body: { version: state.charter.version, plan: state.charter.plan, charter: state.charter.body },
        });
      },
    });
    TraceDesk.make(
      post,
      () => ident,
      purge,
      recordStore,
      () => core.live() && core.chain.passed() !== null,
    );
    return Ok({
      ident,
      core,
      purge,
      shelf: recordStore,
      post,
      /** Reads and writes as any other daemon does; the head or the tail may be this one. */
      line: ControlClient.make(world, post, coreAddresses, core.view),
      start(): void {
        core.start();
        purge.start();
      },
      /** Tells the others that this daemon goes, for a second at the most. It must still be stopped. */
      leave: (): Promise<void> => core.leave(),
      stop(): void {
        core.stop();
        purge.stop();
        post.close();
      },
    });
  },
};
